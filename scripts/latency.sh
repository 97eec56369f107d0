#!/bin/sh
# Measures the latency that the entry and the agent add to a direct call of the
# fake engine: one caller sends the same one-token requests both ways, once.
set -eu
cd "$(dirname "$0")/.."
make -s comfrey-entry comfrey-agent comfrey-fake-engine comfrey-fake-config \
	comfrey-fake-vmlist comfrey-load
. scripts/processes.sh
write_settings config '[config]\nlisten = "127.0.0.1:7000"\nrecords = "demo/records.jsonl"\n' >/dev/null
write_settings engine '[engine]\nlisten = "127.0.0.1:7201"\nstep_base_us = 1000\n' >/dev/null
write_settings agent1 '[agent]\nlisten = "127.0.0.1:7101"\n' >/dev/null
write_settings agent2 '[agent]\nlisten = "127.0.0.1:7102"\n' >/dev/null
start config ./comfrey-fake-config --settings "$run/config.toml"
start vmlist ./comfrey-fake-vmlist
start engine ./comfrey-fake-engine --settings "$run/engine.toml"
start agent1 ./comfrey-agent --settings "$run/agent1.toml"
start agent2 ./comfrey-agent --settings "$run/agent2.toml"
start entry ./comfrey-entry
sleep 1.5
echo "direct:"
./comfrey-load --session demo/latency.jsonl --threads 1 \
	--direct http://127.0.0.1:7201 2>&1
echo "through entry and agent:"
./comfrey-load --session demo/latency.jsonl --threads 1 \
	--entry http://127.0.0.1:8080 2>&1
for pid in $pids; do
	printf '%s rss_kb=%s\n' "$(cat /proc/$pid/comm)" \
		"$(awk '/VmRSS/ {print $2}' /proc/$pid/status)"
done
