#!/bin/sh
# make demo: builds, starts the stand-in of the platform (store, plain
# targets, a rank group of 8), three gateways and an agent beside each rank
# as sibling processes, plays callers with streams, and prints one summary
# line.  Logs stay in the directory it names.
#
#	demo.sh [REQUESTS]	as many in place of 1500
set -eu
cd "$(dirname "$0")/.."
sh scripts/install-deps.sh
make -s deploy target/comfrey-fake-platform target/comfrey-callers
. scripts/ports.sh
take_ports
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
	--gateway "$(front 1)" --gateway "$(front 2)" --gateway "$(front 3)" \
	>"$run/callers" || status=$?
if [ ! -s "$run/callers" ]; then
	echo "the callers ended with status $status and said nothing" >&2
	exit 1
fi
doubled=0
for port in $(seq $((ports + 1)) $LAST_TARGET); do
	n=$(curl -sS "http://127.0.0.1:$port/test/runs" |
		sed -n 's/.*"doubled":\([0-9]*\).*/\1/p')
	if [ -z "$n" ]; then
		echo "the target at port $port does not say what it ran" >&2
		exit 1
	fi
	doubled=$((doubled + n))
done
echo "$(cat "$run/callers") doubled=$doubled"
[ $status = 0 ] && [ $doubled = 0 ]
