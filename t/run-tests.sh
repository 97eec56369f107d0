#!/bin/sh
# Runs the test programs, several side by side (each has ports and files of
# its own), prints what each said and sums the results into one closing line.
# A test case listed in KNOWN-RED.txt as PROGRAM:TAG is left out of the
# verdict, then run on its own and reported as known red.
#
#	run-tests.sh PROGRAM...		all of them
#	run-tests.sh --one PROGRAM	one, its words to t/out/PROGRAM.txt
SIDE_BY_SIDE=6

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

printf '%s\n' "$@" | xargs -P $SIDE_BY_SIDE -n 1 sh "$0" --one
passed=0
failed=0
for t in "$@"; do
	words=t/out/$(basename "$t").txt
	cat "$words"
	if grep -q '^FAILED: ' "$words"; then
		failed=$((failed + 1))
	else
		passed=$((passed + 1))
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
