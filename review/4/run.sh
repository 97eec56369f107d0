#!/bin/sh
# Case 4: a short silence of the store while the configuration changes; the
# gateways go on with an old version.  Exit status: 1 broken, 0 held, 2 could
# not run.  TROUBLE=0 leaves the silence out.  Needs review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
record=$here/record.txt
: >"$record"
note() { echo "$*" | tee -a "$record"; }

for p in comfrey-gateway comfrey-fake-platform review-2/silent-store; do
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
			bounds.downgrade-ms=250
			bounds.max-stretch-ms=5000
			bounds.retry-ratio=0.2
			bounds.retry-window-s=10
			bounds.retry-slack=88
			bounds.recover-s=12
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

start platform target/comfrey-fake-platform --port "$ports" --plain 3 --ranks 0
sleep 0.5
for n in 1 2 3; do
	start_gateway "$n"
done
sleep 6
target/review-2/silent-store "$ports" $((ports + 101)) $((ports + 102)) \
	$((ports + 103)) >"$run/operator.log" 2>&1
status=$?
cat "$run/operator.log" >>"$record"
echo "log lines of the gateways:" >>"$record"
for n in 1 2 3; do
	grep -E "config-accept|store-lost|store-back" "$run/gateway-$n.log"
done >>"$record"
case $status in
0) note "CONFIG held: $(tail -1 "$run/operator.log")" ;;
1) note "CONFIG broken: $(tail -1 "$run/operator.log")" ;;
*) note "could not run, status $status"; status=2 ;;
esac
exit $status
