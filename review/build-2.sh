#!/bin/sh
# Builds the stand-ins that the cases 4 and 5 start, into target/review-2/, and
# the stand-in of the platform.  Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -s target/comfrey-fake-platform
mkdir -p target/review-2
for source in review/4/*.c review/5/*.c; do
	[ -f "$source" ] || continue
	${CC:-cc} -O2 -g -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -pthread \
		-o "target/review-2/$(basename "$source" .c)" "$source"
done
