#!/bin/sh
# Fails if git tracks a binary file, such as a built program, an object or an
# archive.  Build results do not belong in the repository.  Images are allowed.
# `file` detects a binary by its contents, whatever its name.
set -eu
command -v file >/dev/null || {
	echo "no-binaries: the file command is missing; run sh scripts/install-deps.sh" >&2
	exit 1
}
[ -e .git ] || {
	echo "no-binaries: not a git checkout, nothing to check"
	exit 0
}
git rev-parse --git-dir >/dev/null
kinds=$(git ls-files -z | xargs -0 -r file --no-dereference --mime --)
found=$(printf '%s\n' "$kinds" | grep 'charset=binary$' |
	grep -vE ': +(image/[^;]*|inode/(x-empty|symlink)); charset=binary$' || true)
[ -z "$found" ] && exit 0
echo "no-binaries: tracked binary files (remove them with git rm --cached):" >&2
printf '%s\n' "$found" >&2
exit 1
