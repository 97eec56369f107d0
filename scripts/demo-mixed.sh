#!/bin/sh
# Runs gateways and rank agents of two builds in one fleet and replaces each of
# them, under load, with the other build.
#
#	demo-mixed.sh FIRST SECOND [REQUESTS]
#
# FIRST and SECOND are directories that hold comfrey-gateway and
# comfrey-rank-agent.  Gateways 1 and 2 and agents 1 to 4 start from FIRST, the
# others from SECOND.  Each is stopped with SIGTERM and started again from the
# other directory.  Callers use the gateways that are not being replaced; they
# send REQUESTS requests in each step (default: 600).
#
# Prints the callers' totals of each step, the requests that ran twice at a
# target, the passes in which ranks used different maps, the links lost while
# neither end was being stopped, the rejected records, and the last map change.
# The exit status is 0 if no request was lost, answered wrongly or run twice, no
# pass used two maps, no link was lost and no record was rejected.
set -eu
cd "$(dirname "$0")/.."
make -s deploy target/comfrey-fake-platform target/comfrey-callers
. scripts/ports.sh
allocate_ports
. scripts/platform-processes.sh

first=$1
second=$2
requests=${3:-600}
RANKS=8
LAST_TARGET=$((ports + 2 + RANKS))
status=0

# stop_one NAME: stops the process and renames its log to NAME.before.log
stop_one() {
	eval "pid=\$pid_$(echo "$1" | tr - _)"
	date +%s.%N >>"$run/stops"
	kill -TERM "$pid"
	wait "$pid" || true
	date +%s.%N >>"$run/stops"
	mv "$run/$1.log" "$run/$1.before.log"
}

# start_callers STEP GATEWAY...: sends requests to the gateways, in the
# background
start_callers() {
	step=$1
	shift
	gateway_args=""
	for gateway in "$@"; do
		gateway_args="$gateway_args --gateway $(front_addr "$gateway")"
	done
	target/comfrey-callers --requests "$requests" --callers 16 $gateway_args \
		>"$run/callers-$step" 2>&1 &
	pid_callers=$!
}

# wait_for_callers STEP: waits for the callers and prints their totals
wait_for_callers() {
	wait "$pid_callers" || status=1
	echo "$1: $(cat "$run/callers-$1")"
}

# sum_runs FIELD: prints the sum of FIELD of /test/runs over all targets
sum_runs() {
	total=0
	for port in $(seq $((ports + 1)) $LAST_TARGET); do
		n=$(curl -sS "http://127.0.0.1:$port/test/runs" |
			sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p")
		total=$((total + ${n:?target at port $port did not report $1}))
	done
	echo $total
}

# count_lost_links: prints how many links were lost, except those lost between
# 0.2 s before and 1 s after a process was sent SIGTERM or exited
count_lost_links() {
	grep -hE 'E1306 .*outcome=(down|silent)' "$run"/*.log |
		sed 's/.* t=//' | awk -v stops="$run/stops" '
		BEGIN { while ((getline time < stops) > 0) stopped_at[n++] = time }
		{
			for (i = 0; i < n; i++)
				if ($1 > stopped_at[i] - 0.2 && $1 < stopped_at[i] + 1) next
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

start_callers mixed 1 2 3
wait_for_callers mixed
for n in 1 2 3; do
	programs=$second
	[ "$n" = 3 ] && programs=$first
	start_callers "gateway-$n" $(seq 3 | grep -v "$n")
	sleep 0.2
	stop_one "gateway-$n"
	start_gateway "$n"
	await_ready "$n"
	wait_for_callers "gateway-$n"
done
start_callers agents 1 2 3
for r in $(seq $RANKS); do
	programs=$second
	[ "$r" -gt 4 ] && programs=$first
	stop_one "agent-$r"
	start_agent "$r" "$((ports + 2 + r))"
done
wait_for_callers agents
start_callers replaced 1 2 3
wait_for_callers replaced

doubled=$(sum_runs doubled)
mixed=$(sum_runs mixed)
lost_links=$(count_lost_links)
rejected=$(for n in 1 2 3; do
	curl -s "http://127.0.0.1:$((ports + 130 + n))/metrics"
done | awk '/^comfrey_records_rejected_total / { n += $2 } END { print n + 0 }')
echo "doubled=$doubled mixed=$mixed links_lost=$lost_links rejected=$rejected"
grep -hE 'E1502 .*why=changed' "$run"/gateway-*.log |
	sed 's/\(.* t=\)\(.*\)/\2 \1\2/' | sort -n | cut -d' ' -f2- | tail -1
[ $status = 0 ] && [ "$doubled" = 0 ] && [ "$mixed" = 0 ] &&
	[ "$lost_links" = 0 ] && [ "$rejected" = 0 ]
