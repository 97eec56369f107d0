#!/bin/sh
# Run by make demo-own.  Builds the programs and starts them on this machine:
# the stand-ins, two agents per engine group, an agent per plain service, and
# two entries.  Then sends the requests of a session and prints one summary
# line.  The logs are kept in the directory printed on standard error.
#
#	demo-own.sh [SESSION]	session file (default: demo/session.jsonl)
set -eu
cd "$(dirname "$0")/.."
sh scripts/install-deps.sh
make -s comfrey comfrey-entry comfrey-agent comfrey-fake-engine \
	comfrey-fake-config comfrey-fake-vmlist comfrey-fake-service comfrey-load
. scripts/ports.sh
allocate_ports
. scripts/processes.sh

CONFIG_ADDR=127.0.0.1:$ports
VMLIST_ADDR=127.0.0.1:$((ports + 1))
# agent_addr N, target_addr N, entry_addr N: the address that it listens on
agent_addr() { echo "127.0.0.1:$((ports + 10 + $1))"; }
target_addr() { echo "127.0.0.1:$((ports + 20 + $1))"; }
entry_addr() { echo "127.0.0.1:$((ports + 30 + $1))"; }

# The records have the default ports of the agents, 7101 to 7106.
sed "s/127\.0\.0\.1:710/127.0.0.1:$((ports / 10 + 1))/g" demo/records.jsonl \
	>"$run/records.jsonl"

start config ./comfrey-fake-config --settings "$(write_settings config "[config]
listen = \"$CONFIG_ADDR\"
records = \"$run/records.jsonl\"")"
start vmlist ./comfrey-fake-vmlist --settings "$(write_settings vmlist "[vmlist]
listen = \"$VMLIST_ADDR\"")"
start engine-aspen ./comfrey-fake-engine --settings "$(write_settings engine-aspen "[engine]
listen = \"$(target_addr 1)\"
seed = 11")"
start engine-beritba ./comfrey-fake-engine --settings "$(write_settings engine-beritba "[engine]
listen = \"$(target_addr 2)\"
ranks = 16
seed = 12")"
start orders-aspen ./comfrey-fake-service --settings "$(write_settings orders-aspen "[service]
listen = \"$(target_addr 3)\"")"
start booking-beritba ./comfrey-fake-service --settings "$(write_settings booking-beritba "[service]
listen = \"$(target_addr 4)\"")"
for pair in 1:1 2:1 3:2 4:2 5:3 6:4; do
	n=${pair%%:*}
	start agent-$n ./comfrey-agent --settings "$(write_settings agent-$n "[agent]
listen = \"$(agent_addr "$n")\"
target_url = \"http://$(target_addr "${pair#*:}")\"")"
done
for n in 1 2; do
	start entry-$n ./comfrey-entry --settings "$(write_settings entry-$n "[entry]
name = \"e$n\"
listen = \"$(entry_addr $n)\"
[config]
url = \"http://$CONFIG_ADDR\"
[vmlist]
url = \"http://$VMLIST_ADDR\"")"
done

# are_entries_ready: succeeds if both entries have a configuration and links to
# all six agents, and no agent is in its guard's quiet time after a start (5 s)
are_entries_ready() {
	for n in 1 2; do
		curl -s "http://$(entry_addr $n)/v1/health" 2>/dev/null |
			grep -q '"config_version":1,"links_up":6,"guards_quiet":0' || return 1
	done
}

for i in $(seq 200); do
	are_entries_ready && break
	sleep 0.1
done
if ! are_entries_ready; then
	echo "the entries are not ready; see $run" >&2
	exit 1
fi

echo "logs: $run" >&2
./comfrey-load --session "${1:-demo/session.jsonl}" --threads 16 \
	--entry "http://$(entry_addr 1)" --entry "http://$(entry_addr 2)" \
	--service "http://$(target_addr 3)" --service "http://$(target_addr 4)"
