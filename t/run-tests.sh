#!/bin/sh
# Runs the test programs, several in parallel (each uses its own ports and
# files), prints the output of each and the totals as the last line.  A test
# case listed in KNOWN-RED.txt as PROGRAM:TAG does not count in the result of
# its program; it runs separately and is reported as known red.
#
#	run-tests.sh PROGRAM...		run all of these programs
#	run-tests.sh --one PROGRAM	run one, with its output in t/out/PROGRAM.txt
MAX_PARALLEL=6

known_tags() {
	[ -f KNOWN-RED.txt ] || return 0
	grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' |
		grep "^$1:" | cut -d: -f2 | paste -sd' ' -
}

run_one() {
	tags=$(known_tags "$1")
	if ! CK_EXCLUDE_TAGS="$tags" ./"$1"; then
		echo "FAILED: $1"
	fi
	if [ -n "$tags" ]; then
		echo "known red, not counted ($1: $tags):"
		CK_INCLUDE_TAGS="$tags" ./"$1" | sed 's/^/  /'
	fi
}

mkdir -p t/out
if [ "$1" = --one ]; then
	run_one "$2" >"t/out/$(basename "$2").txt" 2>&1
	exit 0
fi

printf '%s\n' "$@" | xargs -P $MAX_PARALLEL -n 1 sh "$0" --one
passed=0
failed=0
for program in "$@"; do
	output=t/out/$(basename "$program").txt
	cat "$output"
	if grep -q '^FAILED: ' "$output"; then
		failed=$((failed + 1))
	else
		passed=$((passed + 1))
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
