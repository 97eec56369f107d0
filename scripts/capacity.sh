#!/bin/sh
# Measures the slopes docs/CAPACITY.md is worked from, on this machine:
# CPU per request of entry and agent, idle control CPU of an entry with
# six links, resident memory, and config reads.  One run; small stand-ins.
set -eu
cd "$(dirname "$0")/.."
make -s comfrey-entry comfrey-agent comfrey-fake-engine comfrey-fake-config \
	comfrey-fake-vmlist comfrey-fake-service comfrey-load
. scripts/processes.sh
# utime + stime of a process, in clock ticks.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

start config ./comfrey-fake-config --settings "$(settings c '[config]\nlisten = "127.0.0.1:7000"\nrecords = "demo/records.jsonl"\n')"
start vmlist ./comfrey-fake-vmlist
start ea ./comfrey-fake-engine --settings "$(settings ea '[engine]\nlisten = "127.0.0.1:7201"\nstep_base_us = 500\n')"
start eb ./comfrey-fake-engine --settings "$(settings eb '[engine]\nlisten = "127.0.0.1:7202"\nstep_base_us = 500\n')"
start sa ./comfrey-fake-service --settings "$(settings sa '[service]\nlisten = "127.0.0.1:7301"\nwork_ms = 0\n')"
start sb ./comfrey-fake-service --settings "$(settings sb '[service]\nlisten = "127.0.0.1:7302"\nwork_ms = 0\n')"
for a in 1:7201 2:7201 3:7202 4:7202 5:7301 6:7302; do
	n=${a%%:*}
	start agent$n ./comfrey-agent --settings "$(settings a$n "[agent]\nlisten = \"127.0.0.1:710$n\"\ntarget_url = \"http://127.0.0.1:${a#*:}\"\n")"
done
start entry ./comfrey-entry
sleep 7
hz=$(getconf CLK_TCK)

e0=$(ticks $pid_entry)
a0=$(ticks $pid_agent1)
r0=$(curl -s http://127.0.0.1:7000/test/reads | tr -dc 0-9)
sleep 10
e1=$(ticks $pid_entry)
a1=$(ticks $pid_agent1)
r1=$(curl -s http://127.0.0.1:7000/test/reads | tr -dc 0-9)
echo "idle 10 s: entry cpu_ms=$(((e1 - e0) * 1000 / hz)) (6 links)" \
	"agent cpu_ms=$(((a1 - a0) * 1000 / hz)) (1 link)" \
	"config_reads=$((r1 - r0)) entry_rss_kb=$(rss $pid_entry)" \
	"agent_rss_kb=$(rss $pid_agent1)"

p0=$(curl -s http://127.0.0.1:8080/v1/health | sed 's/.*"pings":\([0-9]*\).*/\1/')
l0=$(date +%s%N)
e0=$(ticks $pid_entry)
t0=0
for n in 1 2 3 4 5 6; do eval "t=\$(ticks \$pid_agent$n)"; t0=$((t0 + t)); done
./comfrey-load --session demo/session.jsonl --repeat 8 --threads 16 \
	--entry http://127.0.0.1:8080 >"$run/load.out" 2>&1 || true
e1=$(ticks $pid_entry)
t1=0
for n in 1 2 3 4 5 6; do eval "t=\$(ticks \$pid_agent$n)"; t1=$((t1 + t)); done
p1=$(curl -s http://127.0.0.1:8080/v1/health | sed 's/.*"pings":\([0-9]*\).*/\1/')
l1=$(date +%s%N)
reqs=$((246 * 8))
echo "load: pings=$((p1 - p0)) over 6 links in $(((l1 - l0) / 1000000)) ms"
echo "load $reqs requests: entry cpu_ms=$(((e1 - e0) * 1000 / hz))" \
	"agents cpu_ms=$(((t1 - t0) * 1000 / hz))" \
	"entry_rss_kb=$(rss $pid_entry) agent_rss_kb=$(rss $pid_agent1)"
tail -1 "$run/load.out"

# The same idle control cost with letter 1's 340 links: 340 addresses of the
# loopback range, all answered by one agent that listens on every address.
kill -TERM $pid_entry && wait $pid_entry 2>/dev/null || true
start agentall ./comfrey-agent --settings "$(settings all '[agent]\nlisten = "0.0.0.0:7199"\n')"
for i in $(seq 340); do
	printf '"127.0.%d.%d:7199"\n' $((1 + i / 200)) $((1 + i % 200))
done | paste -sd, >"$run/addrs"
printf '{"schema":1,"kind":"group","name":"g","target":"engine","agents":[%s]}\n' \
	"$(cat "$run/addrs")" >"$run/wide.jsonl"
start wideconfig ./comfrey-fake-config --settings "$(settings w "[config]\nlisten = \"127.0.0.1:7010\"\nrecords = \"$run/wide.jsonl\"\n")"
start wide ./comfrey-entry --settings "$(settings we '[entry]\nlisten = "127.0.0.1:8090"\n[config]\nurl = "http://127.0.0.1:7010"\n')"
sleep 15
pings() { curl -s http://127.0.0.1:8090/v1/health | sed 's/.*"pings":\([0-9]*\).*/\1/'; }
e0=$(ticks $pid_wide)
p0=$(pings)
sleep 30
e1=$(ticks $pid_wide)
p1=$(pings)
echo "idle 30 s, 340 links: entry cpu_ms=$(((e1 - e0) * 1000 / hz))" \
	"pings=$((p1 - p0)) bytes_per_s=$(((p1 - p0) * 86 / 30))" \
	"entry_rss_kb=$(rss $pid_wide)" \
	"$(curl -s http://127.0.0.1:8090/v1/health)"
