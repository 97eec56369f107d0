#!/bin/sh
# Fails if git tracks a binary file, such as a built program, an object or an
# archive: what is built here has no place in the repository.  Pictures may
# stay.  `file` tells by what is in a file, whatever its name is.
set -eu
command -v file >/dev/null || {
	echo "no-binaries: no command file; sh scripts/install-deps.sh" >&2
	exit 1
}
[ -e .git ] || {
	echo "no-binaries: no git checkout, so nothing is committed here"
	exit 0
}
git rev-parse --git-dir >/dev/null
kinds=$(git ls-files -z | xargs -0 -r file --no-dereference --mime --)
found=$(printf '%s\n' "$kinds" | grep 'charset=binary$' |
	grep -vE ': +(image/[^;]*|inode/(x-empty|symlink)); charset=binary$' || true)
[ -z "$found" ] && exit 0
echo "no-binaries: tracked, but binary; git rm --cached:" >&2
printf '%s\n' "$found" >&2
exit 1
