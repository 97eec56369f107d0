#!/bin/sh
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/case.c; do
	[ -f "$source" ] || continue
	n=$(basename "$(dirname "$source")")
	cc -O2 -g -std=gnu11 -D_GNU_SOURCE -Wall -Wno-unused-function -Wno-format-truncation \
		-o "target/review/case-$n" "$source" -pthread
done
