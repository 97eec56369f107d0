#!/bin/sh
# make demo-own: builds, starts the stand-ins, two agents per engine group and
# two entries as sibling processes, plays demo/session.jsonl and prints
# one summary line.  Logs stay in the directory it names.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install-deps.sh
make -s comfrey comfrey-entry comfrey-agent comfrey-fake-engine \
	comfrey-fake-config comfrey-fake-vmlist comfrey-fake-service comfrey-load
. scripts/processes.sh

start config ./comfrey-fake-config --settings "$(settings config '[config]
listen = "127.0.0.1:7000"
records = "demo/records.jsonl"')"
start vmlist ./comfrey-fake-vmlist --settings "$(settings vmlist '[vmlist]
listen = "127.0.0.1:7001"')"
start engine-aspen ./comfrey-fake-engine --settings "$(settings engine-aspen '[engine]
listen = "127.0.0.1:7201"
seed = 11')"
start engine-beritba ./comfrey-fake-engine --settings "$(settings engine-beritba '[engine]
listen = "127.0.0.1:7202"
ranks = 16
seed = 12')"
start orders-aspen ./comfrey-fake-service --settings "$(settings orders-aspen '[service]
listen = "127.0.0.1:7301"')"
start booking-beritba ./comfrey-fake-service --settings "$(settings booking-beritba '[service]
listen = "127.0.0.1:7302"')"
for a in 1:7201 2:7201 3:7202 4:7202 5:7301 6:7302; do
	n=${a%%:*}
	start agent-$n ./comfrey-agent --settings "$(settings agent-$n "[agent]
listen = \"127.0.0.1:710$n\"
target_url = \"http://127.0.0.1:${a#*:}\"")"
done
for n in 1 2; do
	start entry-$n ./comfrey-entry --settings "$(settings entry-$n "[entry]
name = \"e$n\"
listen = \"127.0.0.1:808$((n - 1))\"")"
done

# Wait until both entries have a configuration and links to all six agents,
# and the agents' guards have sat out their quiet time (5 s).
for i in $(seq 200); do
	ok=0
	for p in 8080 8081; do
		curl -s "http://127.0.0.1:$p/v1/health" 2>/dev/null |
			grep -q '"config_version":1,"links_up":6,"guards_quiet":0' && ok=$((ok + 1))
	done
	[ $ok = 2 ] && break
	sleep 0.1
done

./comfrey-load --session demo/session.jsonl --threads 16 \
	--entry http://127.0.0.1:8080 --entry http://127.0.0.1:8081 \
	--service http://127.0.0.1:7301 --service http://127.0.0.1:7302
echo "logs: $run" >&2
