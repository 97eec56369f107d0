#!/bin/sh
# Runs the gateways and rank agents of two builds in one fleet and replaces
# them one by one, under load, by those of the other build.
#
#	demo-mixed.sh FIRST SECOND [REQUESTS]
#
# FIRST and SECOND are directories that hold comfrey-gateway and
# comfrey-rank-agent.  Gateways 1 and 2 and agents 1 to 4 begin with FIRST, the
# others with SECOND; each is stopped with SIGTERM and started again from the
# other directory.  Callers use the gateways that are not being replaced.
# Prints the callers' figures of each step, what the targets ran twice, passes
# with two maps at once, links that were lost without a stop at either end, and
# the last change of the map.  The exit status is 0 if nothing was lost, wrong,
# doubled or mixed and no link was lost.
set -eu
cd "$(dirname "$0")/.."
make -s deploy target/comfrey-fake-platform target/comfrey-callers
. scripts/ports.sh
take_ports
. scripts/platform-processes.sh

first=$1
second=$2
requests=${3:-600}
RANKS=8
LAST_TARGET=$((ports + 2 + RANKS))
status=0

# stop_one NAME: ends the process and keeps its log as NAME.before.log
stop_one() {
	eval "pid=\$pid_$(echo "$1" | tr - _)"
	date +%s.%N >>"$run/stops"
	kill -TERM "$pid"
	wait "$pid" || true
	date +%s.%N >>"$run/stops"
	mv "$run/$1.log" "$run/$1.before.log"
}

# play STEP GATEWAY...: callers at these gateways, in the background
play() {
	step=$1
	shift
	args=""
	for g in "$@"; do
		args="$args --gateway $(front "$g")"
	done
	target/comfrey-callers --requests "$requests" --callers 16 $args \
		>"$run/callers-$step" 2>&1 &
	pid_callers=$!
}

# finish STEP: waits for the callers and prints their figures
finish() {
	wait "$pid_callers" || status=1
	echo "$1: $(cat "$run/callers-$1")"
}

# sum_runs FIELD: over all targets
sum_runs() {
	total=0
	for port in $(seq $((ports + 1)) $LAST_TARGET); do
		n=$(curl -sS "http://127.0.0.1:$port/test/runs" |
			sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p")
		total=$((total + ${n:?no $1 from the target at port $port}))
	done
	echo $total
}

# links_lost: how many were lost while no process stopped or had just ended
links_lost() {
	grep -hE 'E1306 .*outcome=(down|silent)' "$run"/*.log |
		sed 's/.* t=//' | awk -v stops="$run/stops" '
		BEGIN { while ((getline s < stops) > 0) at[n++] = s }
		{
			for (i = 0; i < n; i++)
				if ($1 > at[i] - 0.2 && $1 < at[i] + 1) next
			lost++
		}
		END { print lost + 0 }'
}

start platform target/comfrey-fake-platform --port "$ports" --plain 2 \
	--ranks $RANKS --shift-s 4
for n in 1 2 3; do
	programs=$first
	[ "$n" = 3 ] && programs=$second
	start_gateway "$n"
done
for r in $(seq $RANKS); do
	programs=$first
	[ "$r" -gt 4 ] && programs=$second
	start_agent "$r" "$((ports + 2 + r))"
done
for n in 1 2 3; do
	await_ready "$n"
done
echo "logs: $run" >&2

play mixed 1 2 3
finish mixed
for n in 1 2 3; do
	programs=$second
	[ "$n" = 3 ] && programs=$first
	play "gateway-$n" $(seq 3 | grep -v "$n")
	sleep 0.2
	stop_one "gateway-$n"
	start_gateway "$n"
	await_ready "$n"
	finish "gateway-$n"
done
play agents 1 2 3
for r in $(seq $RANKS); do
	programs=$second
	[ "$r" -gt 4 ] && programs=$first
	stop_one "agent-$r"
	start_agent "$r" "$((ports + 2 + r))"
done
finish agents
play replaced 1 2 3
finish replaced

doubled=$(sum_runs doubled)
mixed=$(sum_runs mixed)
losses=$(links_lost)
rejected=$(for n in 1 2 3; do
	curl -s "http://127.0.0.1:$((ports + 130 + n))/metrics"
done | awk '/^comfrey_records_rejected_total / { n += $2 } END { print n + 0 }')
echo "doubled=$doubled mixed=$mixed links_lost=$losses rejected=$rejected"
grep -hE 'E1502 .*why=changed' "$run"/gateway-*.log |
	sed 's/\(.* t=\)\(.*\)/\2 \1\2/' | sort -n | cut -d' ' -f2- | tail -1
[ $status = 0 ] && [ "$doubled" = 0 ] && [ "$mixed" = 0 ] &&
	[ "$losses" = 0 ] && [ "$rejected" = 0 ]
