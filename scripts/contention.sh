#!/bin/sh
# Plays the loads of the table in docs/design/contended-capacity.md with real
# gateways and prints, for each, the fraction of the requests that were served:
# in all, and for each kind of request or caller.  A target has 8 slots and
# queues 16 more requests; a request takes 300 ms.
#
#	contention.sh [ROW...]	rows to play (default: all)
#
# SEED (default: 1) and DURATION_S (default: 8) may be set in the environment;
# also WITHOUT (see the Makefile), and programs, the directory of another build
# of the gateway.
set -eu
cd "$(dirname "$0")/.."
make -s -j3 deploy target/comfrey-fake-platform target/comfrey-callers
. scripts/ports.sh
allocate_ports
. scripts/platform-processes.sh

SLOTS=8
WORK_MS=300
DURATION_S=${DURATION_S:-8}
# Gateways exchange their first hellos, and learn how long requests take.
SETTLE_S=2
ROWS="urgencies urgencies-orgs urgencies-full urgencies-apart orgs orgs-apart
	skew-30 skew-48 skew-moves early early-4 burst burst-4"

# rate LOAD TARGETS: requests per second that take LOAD of the capacity
rate() { awk "BEGIN { print $1 * $2 * $SLOTS * 1000 / $WORK_MS }"; }

# begin ROW GATEWAYS TARGETS QUEUE: starts the processes of a row
begin() {
	row=$1
	gateways=$2
	targets=$3
	# A gateway counts each seed as one that has a share of the targets.
	n_seeds=$((gateways < 3 ? gateways : 3))
	start platform target/comfrey-fake-platform --port "$ports" --tiers \
		--plain "$targets" --ranks 0 --slots $SLOTS --queue "$4" \
		--work-ms $WORK_MS
	for n in $(seq "$gateways"); do
		start_gateway "$n"
	done
	for n in $(seq "$gateways"); do
		await_ready "$n"
	done
	sleep $SETTLE_S
}

# call NAME FIRST LAST ARG...: starts callers of the gateways FIRST to LAST
call() {
	name=$1
	addrs=""
	for n in $(seq "$2" "$3"); do
		addrs="$addrs --gateway $(front_addr "$n")"
	done
	shift 3
	# shellcheck disable=SC2086 # one word for each gateway
	target/comfrey-callers $addrs --duration "$DURATION_S" \
		--seed "${SEED:-1}" "$@" \
		>"$run/$row.$name" 2>"$run/$row.$name.err" &
	callers="$callers $!"
}

# end: waits for the callers, prints the row, and stops its processes
end() {
	for pid in $callers; do
		wait "$pid" || true
	done
	callers=""
	for out in "$run/$row".*; do
		sed -n '/^\(kind\|returns\)=/p' "$out"
	done | awk -v row="$row" '
		{
			for (i = 2; i <= NF; i++) { split($i, f, "="); v[f[1]] = f[2] }
			printf "%-16s %-28s served=%.3f in_time=%.3f sent=%d", row, $1,
				v["served"] / (v["sent"] ? v["sent"] : 1),
				v["in_time"] / (v["sent"] ? v["sent"] : 1), v["sent"]
			printf " returned=%d refused_after_return=%d lost=%d p99_ms=%d\n",
				v["returned"], v["refused_after_return"], v["lost"], v["p99_ms"]
		}'
	cat "$run/$row".*.err >&2
	kill -TERM $pids 2>/dev/null || true
	for pid in $pids; do
		wait "$pid" 2>/dev/null || true
	done
	pids=""
	for log in "$run"/gateway-*.log "$run/platform.log"; do
		mv "$log" "$run/$row-$(basename "$log")"
	done
}

# play ROW
play() {
	callers=""
	case $1 in
	urgencies)
		begin "$1" 1 2 16
		call all 1 1 --rate "$(rate 1.3 2)" --deadline-ms 1500 \
			--mix /urgent/a=1 --mix /basic/a=1
		;;
	urgencies-orgs)
		begin "$1" 1 2 16
		call all 1 1 --rate "$(rate 1.3 2)" --deadline-ms 1500 \
			--mix /urgent/a@key-small=1 --mix /basic/a@key-large=1
		;;
	urgencies-full)
		begin "$1" 1 2 0
		call all 1 1 --rate "$(rate 1.3 2)" --deadline-ms 1500 \
			--mix /urgent/a@key-small=1 --mix /basic/a@key-large=1
		;;
	urgencies-apart)
		begin "$1" 4 4 16
		call urgent 1 1 --rate "$(rate 0.65 4)" --deadline-ms 1500 \
			--mix /urgent/a=1
		call basic 2 4 --rate "$(rate 0.65 4)" --deadline-ms 1500 \
			--mix /basic/a=1
		;;
	orgs)
		begin "$1" 1 2 16
		call all 1 1 --rate "$(rate 2.6 2)" --deadline-ms 1500 \
			--mix /shared/a@key-small=0.1 --mix /shared/a@key-large=2.5
		;;
	orgs-apart)
		begin "$1" 4 4 16
		call small 1 1 --rate "$(rate 0.1 4)" --deadline-ms 1500 \
			--mix /shared/a@key-small=1
		call large 1 4 --rate "$(rate 2.5 4)" --deadline-ms 1500 \
			--mix /shared/a@key-large=1
		;;
	skew-30 | skew-48 | skew-moves)
		begin "$1" 8 8 16
		load=0.46875
		[ "$1" != skew-48 ] || load=0.75
		move_s=0
		[ "$1" != skew-moves ] || move_s=1
		# 63 of 70 are 90 %.
		call all 1 8 --rate "$(rate $load 8)" --deadline-ms 1500 \
			--mix /shared/a@key-small=1 --move-s $move_s --weight 63 \
			--weight 1 --weight 1 --weight 1 --weight 1 --weight 1 \
			--weight 1 --weight 1
		;;
	early | early-4)
		g=1
		[ "$1" = early ] || g=4
		begin "$1" $g 4 16
		call all 1 $g --rate "$(rate 1.3 4)" --deadline-ms 3000 \
			--mix /shared/a@key-small=1 --return --early 0.5
		;;
	burst | burst-4)
		g=1
		[ "$1" = burst ] || g=4
		begin "$1" $g 4 16
		call all 1 $g --rate "$(rate 0.7 4)" --deadline-ms 3000 \
			--mix /shared/a@key-small=1 --return \
			--burst-at 2 --burst-for 2.5 --burst-rate "$(rate 0.8 4)"
		;;
	*)
		echo "no row $1; rows: $ROWS" >&2
		exit 2
		;;
	esac
	end
}

echo "logs: $run" >&2
for r in ${*:-$ROWS}; do
	play "$r"
done
