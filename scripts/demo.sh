#!/bin/sh
# make demo: builds, starts the stand-in of the platform (store, plain
# targets, a rank group of 8), three gateways and an agent beside each rank
# as sibling processes, plays callers with streams, and prints one summary
# line.  Logs stay in the directory it names.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install-deps.sh
make -s deploy target/comfrey-fake-platform target/comfrey-callers
. scripts/platform-processes.sh

RANKS=8
start platform target/comfrey-fake-platform --port 7500 --plain 2 \
	--ranks $RANKS --shift-s 4
for n in 1 2 3; do
	start_gateway "$n"
done
for r in $(seq $RANKS); do
	start_agent "$r" "$((7502 + r))"
done
for n in 1 2 3; do
	await_ready "$n"
done

target/comfrey-callers --requests 1500 --callers 32 --gateway 127.0.0.1:7601 \
	--gateway 127.0.0.1:7602 --gateway 127.0.0.1:7603 >"$run/callers"
doubled=0
for port in $(seq 7501 $((7502 + RANKS))); do
	n=$(curl -s "http://127.0.0.1:$port/test/runs" |
		sed 's/.*"doubled":\([0-9]*\).*/\1/')
	doubled=$((doubled + n))
done
echo "$(cat "$run/callers") doubled=$doubled"
echo "logs: $run" >&2
