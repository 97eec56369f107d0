#!/bin/sh
# make demo-own: builds, starts the stand-ins, two agents per engine group and
# two entries as sibling processes, plays demo/session.jsonl and prints
# one summary line.  Logs stay in the directory it names.
#
#	demo-own.sh [SESSION]	another session's requests
set -eu
cd "$(dirname "$0")/.."
sh scripts/install-deps.sh
make -s comfrey comfrey-entry comfrey-agent comfrey-fake-engine \
	comfrey-fake-config comfrey-fake-vmlist comfrey-fake-service comfrey-load
. scripts/ports.sh
take_ports
. scripts/processes.sh

CONFIG=127.0.0.1:$ports
VMLIST=127.0.0.1:$((ports + 1))
# agent N, target N, entry N: where they listen
agent() { echo "127.0.0.1:$((ports + 10 + $1))"; }
target() { echo "127.0.0.1:$((ports + 20 + $1))"; }
entry() { echo "127.0.0.1:$((ports + 30 + $1))"; }

# The records name the agents by the ports of single runs, 7101 to 7106.
sed "s/127\.0\.0\.1:710/127.0.0.1:$((ports / 10 + 1))/g" demo/records.jsonl \
	>"$run/records.jsonl"

start config ./comfrey-fake-config --settings "$(settings config "[config]
listen = \"$CONFIG\"
records = \"$run/records.jsonl\"")"
start vmlist ./comfrey-fake-vmlist --settings "$(settings vmlist "[vmlist]
listen = \"$VMLIST\"")"
start engine-aspen ./comfrey-fake-engine --settings "$(settings engine-aspen "[engine]
listen = \"$(target 1)\"
seed = 11")"
start engine-beritba ./comfrey-fake-engine --settings "$(settings engine-beritba "[engine]
listen = \"$(target 2)\"
ranks = 16
seed = 12")"
start orders-aspen ./comfrey-fake-service --settings "$(settings orders-aspen "[service]
listen = \"$(target 3)\"")"
start booking-beritba ./comfrey-fake-service --settings "$(settings booking-beritba "[service]
listen = \"$(target 4)\"")"
for a in 1:1 2:1 3:2 4:2 5:3 6:4; do
	n=${a%%:*}
	start agent-$n ./comfrey-agent --settings "$(settings agent-$n "[agent]
listen = \"$(agent "$n")\"
target_url = \"http://$(target "${a#*:}")\"")"
done
for n in 1 2; do
	start entry-$n ./comfrey-entry --settings "$(settings entry-$n "[entry]
name = \"e$n\"
listen = \"$(entry $n)\"
[config]
url = \"http://$CONFIG\"
[vmlist]
url = \"http://$VMLIST\"")"
done

# entries_ready: whether both have a configuration and links to all six
# agents, and the agents' guards have sat out their quiet time (5 s)
entries_ready() {
	for n in 1 2; do
		curl -s "http://$(entry $n)/v1/health" 2>/dev/null |
			grep -q '"config_version":1,"links_up":6,"guards_quiet":0' || return 1
	done
}

for i in $(seq 200); do
	entries_ready && break
	sleep 0.1
done
if ! entries_ready; then
	echo "the entries are not ready; see $run" >&2
	exit 1
fi

echo "logs: $run" >&2
./comfrey-load --session "${1:-demo/session.jsonl}" --threads 16 \
	--entry "http://$(entry 1)" --entry "http://$(entry 2)" \
	--service "http://$(target 3)" --service "http://$(target 4)"
