#!/bin/sh
# Run by make demo.  Builds the programs and starts them on this machine: the
# stand-in of the platform (store, plain targets, a rank group of 8), three
# gateways, and a rank agent for each rank.  Then runs callers, with streamed
# answers, and prints one summary line.  The logs are kept in the directory
# printed on standard error.
#
#	demo.sh [REQUESTS]	number of requests (default: 1500)
set -eu
cd "$(dirname "$0")/.."
sh scripts/install-deps.sh
make -s deploy target/comfrey-fake-platform target/comfrey-callers
. scripts/ports.sh
allocate_ports
. scripts/platform-processes.sh

RANKS=8
LAST_TARGET=$((ports + 2 + RANKS))
start platform target/comfrey-fake-platform --port "$ports" --plain 2 \
	--ranks $RANKS --shift-s 4
for n in 1 2 3; do
	start_gateway "$n"
done
for r in $(seq $RANKS); do
	start_agent "$r" "$((ports + 2 + r))"
done
for n in 1 2 3; do
	await_ready "$n"
done

echo "logs: $run" >&2
status=0
target/comfrey-callers --requests "${1:-1500}" --callers 32 \
	--gateway "$(front_addr 1)" --gateway "$(front_addr 2)" --gateway "$(front_addr 3)" \
	>"$run/callers" || status=$?
if [ ! -s "$run/callers" ]; then
	echo "the callers exited with status $status without output" >&2
	exit 1
fi
doubled=0
for port in $(seq $((ports + 1)) $LAST_TARGET); do
	n=$(curl -sS "http://127.0.0.1:$port/test/runs" |
		sed -n 's/.*"doubled":\([0-9]*\).*/\1/p')
	if [ -z "$n" ]; then
		echo "the target at port $port did not report its runs" >&2
		exit 1
	fi
	doubled=$((doubled + n))
done
echo "$(cat "$run/callers") doubled=$doubled"
[ $status = 0 ] && [ $doubled = 0 ]
