#!/bin/sh
# Builds the stand-ins that the cases 4 to 6 start, into target/review-2/, and
# the project's own that they use.  Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -s target/comfrey-fake-platform target/comfrey-callers
mkdir -p target/review-2
for source in review/4/*.c review/5/*.c review/6/*.c; do
	[ -f "$source" ] || continue
	${CC:-cc} -O2 -g -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -pthread \
		-o "target/review-2/$(basename "$source" .c)" "$source"
done
