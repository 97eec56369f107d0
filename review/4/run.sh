#!/bin/sh
# Case 4: an answer to a caller's request that comes late is taken for a rank's
# answer to a hold order.  Exit status: 1 broken, 0 held, 2 could not run.
# TROUBLE=0 plays no faults; EXTRA=0 plays the late orders alone.
# Needs review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
record=$here/record.txt
: >"$record"
note() { echo "$*" | tee -a "$record"; }

for p in comfrey-gateway comfrey-rank-agent comfrey-fake-platform \
	comfrey-callers review-2/rank-proxy; do
	[ -x target/$p ] || { note "target/$p is not built"; exit 2; }
done
. scripts/ports.sh
allocate_ports || exit 2
. scripts/platform-processes.sh
# The rest of a process's settings, as in a small deployment.
write_platform_settings() {
	{
		cat
		cat <<-END
			ip=127.0.0.1
			zone=dc1
			region=prairie-west
			zones.dc1=prairie-west
			seed-addrs=$(seed_addrs)
			limits.cpu-share=0.19
			limits.cpu-cores=1
			limits.memory-mb=260
			limits.max-fds=4200
			limits.link-mbps=1000.0
			heartbeat-ms=1200
			tolerate.machines=2
			bounds.contact-ms=3000
			bounds.ack-ms=4000
			bounds.drain-ms=2000
			bounds.grace-s=8
			bounds.apply-ms=2000
			bounds.retry-ratio=0.2
			bounds.retry-window-s=10
			bounds.retry-slack=88
			bounds.recover-s=12
			bounds.pass-ms=120
			bounds.stall_ms=1500
			bounds.require-fence=true
			platform.addr=127.0.0.1:$ports
			platform.form=read
			platform.reads-per-s=2000
			platform.history-s=20
		END
	} >"$run/$1.conf"
	echo "$run/$1.conf"
}

RANKS=8
first_rank=$((ports + 1))
proxy=$((ports + 40))
rp=target/review-2/rank-proxy

# A total that the ranks' group counts.
group_total() {
	$rp call "$first_rank" GET /test/runs 2>/dev/null |
		sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"
}

start platform target/comfrey-fake-platform --port "$ports" --plain 0 \
	--ranks $RANKS --shift-s 3 --step-ms 50 --per-seq-ms 2 --copy-ms 20
start proxy $rp serve "$proxy" "$first_rank" $RANKS
sleep 0.5
# The ranks are known by the addresses of the proxy.
for r in $(seq 0 $((RANKS - 1))); do
	old=$($rp call "$ports" GET "/test/get?key=servers/rank-$r") || exit 2
	new=$(echo "$old" | sed "s/:$((first_rank + r))\"/:$((proxy + r))\"/")
	$rp call "$ports" POST "/test/put?key=servers/rank-$r" "$new" >/dev/null ||
		exit 2
done
for n in 1 2 3; do
	start_gateway "$n"
done
for r in $(seq $RANKS); do
	start_agent "$r" "$((proxy + r - 1))"
done
sleep 3
# Streams of callers, at a rate that the ranks serve easily.
start callers target/comfrey-callers --gateway "$(front_addr 1)" \
	--gateway "$(front_addr 2)" --gateway "$(front_addr 3)" --key key-museum \
	--rate 40 --duration 85 --mix /chat/a=1 --seed "${SEED:-1}"
for i in $(seq 85); do
	sleep 1
	mixed=$(group_total mixed)
	[ "${mixed:-0}" -gt 0 ] && break
done
sleep 1
kill -USR1 $pid_proxy
sleep 0.2
mixed=$(group_total mixed)
passes=$(group_total passes)
changes=$(cat "$run"/gateway-*.log | grep -c "from=switching to=idle why=changed")
cat "$run/proxy.log" >>"$record"
echo "log lines of the leader's orders, the last 60:" >>"$record"
cat "$run"/gateway-*.log | grep -E "order=(hold|go|arm)|to=|from=" |
	tail -60 >>"$record"
note "passes=${passes:-?} begun_with_different_maps=${mixed:-?}" \
	"map_changes=$changes $(grep totals "$run/proxy.log" | tail -1)"
[ -n "$mixed" ] && [ -n "$passes" ] || exit 2
if [ "$mixed" -gt 0 ]; then
	note "MAP broken"
	exit 1
fi
note "MAP held"
[ "$changes" -gt 0 ] && [ "$passes" -gt 100 ] || {
	note "too few changes of the map"
	exit 2
}
exit 0
