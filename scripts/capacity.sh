#!/bin/sh
# Measures the costs that docs/CAPACITY.md is calculated from, in one run on
# this machine with small stand-ins: CPU time per request of the entry and the
# agents, CPU time of an idle entry with six links, resident memory, and
# configuration reads.
set -eu
cd "$(dirname "$0")/.."
make -s comfrey-entry comfrey-agent comfrey-fake-engine comfrey-fake-config \
	comfrey-fake-vmlist comfrey-fake-service comfrey-load
. scripts/processes.sh
BYTES_PER_PING=86
# cpu_ticks PID: user and system time of a process, in clock ticks
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
# rss_kb PID: resident memory of a process
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

start config ./comfrey-fake-config --settings "$(write_settings config '[config]\nlisten = "127.0.0.1:7000"\nrecords = "demo/records.jsonl"\n')"
start vmlist ./comfrey-fake-vmlist
start engine-a ./comfrey-fake-engine --settings "$(write_settings engine-a '[engine]\nlisten = "127.0.0.1:7201"\nstep_base_us = 500\n')"
start engine-b ./comfrey-fake-engine --settings "$(write_settings engine-b '[engine]\nlisten = "127.0.0.1:7202"\nstep_base_us = 500\n')"
start service-a ./comfrey-fake-service --settings "$(write_settings service-a '[service]\nlisten = "127.0.0.1:7301"\nwork_ms = 0\n')"
start service-b ./comfrey-fake-service --settings "$(write_settings service-b '[service]\nlisten = "127.0.0.1:7302"\nwork_ms = 0\n')"
for pair in 1:7201 2:7201 3:7202 4:7202 5:7301 6:7302; do
	n=${pair%%:*}
	start agent$n ./comfrey-agent --settings "$(write_settings agent$n "[agent]\nlisten = \"127.0.0.1:710$n\"\ntarget_url = \"http://127.0.0.1:${pair#*:}\"\n")"
done
start entry ./comfrey-entry
sleep 7
ticks_per_s=$(getconf CLK_TCK)

entry_before=$(cpu_ticks $pid_entry)
agent_before=$(cpu_ticks $pid_agent1)
reads_before=$(curl -s http://127.0.0.1:7000/test/reads | tr -dc 0-9)
sleep 10
entry_after=$(cpu_ticks $pid_entry)
agent_after=$(cpu_ticks $pid_agent1)
reads_after=$(curl -s http://127.0.0.1:7000/test/reads | tr -dc 0-9)
echo "idle 10 s: entry cpu_ms=$(((entry_after - entry_before) * 1000 / ticks_per_s)) (6 links)" \
	"agent cpu_ms=$(((agent_after - agent_before) * 1000 / ticks_per_s)) (1 link)" \
	"config_reads=$((reads_after - reads_before)) entry_rss_kb=$(rss_kb $pid_entry)" \
	"agent_rss_kb=$(rss_kb $pid_agent1)"

pings_before=$(curl -s http://127.0.0.1:8080/v1/health | sed 's/.*"pings":\([0-9]*\).*/\1/')
start_ns=$(date +%s%N)
entry_before=$(cpu_ticks $pid_entry)
agents_before=0
for n in 1 2 3 4 5 6; do eval "ticks=\$(cpu_ticks \$pid_agent$n)"; agents_before=$((agents_before + ticks)); done
./comfrey-load --session demo/session.jsonl --repeat 8 --threads 16 \
	--entry http://127.0.0.1:8080 >"$run/load.out" 2>&1 || true
entry_after=$(cpu_ticks $pid_entry)
agents_after=0
for n in 1 2 3 4 5 6; do eval "ticks=\$(cpu_ticks \$pid_agent$n)"; agents_after=$((agents_after + ticks)); done
pings_after=$(curl -s http://127.0.0.1:8080/v1/health | sed 's/.*"pings":\([0-9]*\).*/\1/')
end_ns=$(date +%s%N)
requests=$((246 * 8))
echo "load: pings=$((pings_after - pings_before)) over 6 links in $(((end_ns - start_ns) / 1000000)) ms"
echo "load $requests requests: entry cpu_ms=$(((entry_after - entry_before) * 1000 / ticks_per_s))" \
	"agents cpu_ms=$(((agents_after - agents_before) * 1000 / ticks_per_s))" \
	"entry_rss_kb=$(rss_kb $pid_entry) agent_rss_kb=$(rss_kb $pid_agent1)"
tail -1 "$run/load.out"

# Measures the idle entry again with 340 links, the size of the planned
# deployment.  The links go to 340 loopback addresses, which are all served by
# one agent that listens on every address.
kill -TERM $pid_entry && wait $pid_entry 2>/dev/null || true
start agentall ./comfrey-agent --settings "$(write_settings agentall '[agent]\nlisten = "0.0.0.0:7199"\n')"
for i in $(seq 340); do
	printf '"127.0.%d.%d:7199"\n' $((1 + i / 200)) $((1 + i % 200))
done | paste -sd, >"$run/addrs"
printf '{"schema":1,"kind":"group","name":"g","target":"engine","agents":[%s]}\n' \
	"$(cat "$run/addrs")" >"$run/wide.jsonl"
start wideconfig ./comfrey-fake-config --settings "$(write_settings wideconfig "[config]\nlisten = \"127.0.0.1:7010\"\nrecords = \"$run/wide.jsonl\"\n")"
start wide ./comfrey-entry --settings "$(write_settings wide '[entry]\nlisten = "127.0.0.1:8090"\n[config]\nurl = "http://127.0.0.1:7010"\n')"
sleep 15
wide_pings() { curl -s http://127.0.0.1:8090/v1/health | sed 's/.*"pings":\([0-9]*\).*/\1/'; }
entry_before=$(cpu_ticks $pid_wide)
pings_before=$(wide_pings)
sleep 30
entry_after=$(cpu_ticks $pid_wide)
pings_after=$(wide_pings)
echo "idle 30 s, 340 links: entry cpu_ms=$(((entry_after - entry_before) * 1000 / ticks_per_s))" \
	"pings=$((pings_after - pings_before)) bytes_per_s=$(((pings_after - pings_before) * BYTES_PER_PING / 30))" \
	"entry_rss_kb=$(rss_kb $pid_wide)" \
	"$(curl -s http://127.0.0.1:8090/v1/health)"
