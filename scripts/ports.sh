# Sourced by scripts whose processes listen on ports of their own, so that
# two runs side by side, of one tree or of two, don't meet.

# Above the ports of the tests, below those the kernel gives to clients.
PORTS_FIRST=30000
PORTS_A_BLOCK=200
PORT_BLOCKS=12

# ports_in_use FIRST: whether anything listens on a port of the block at FIRST
ports_in_use() {
	awk -v first="$1" -v n=$PORTS_A_BLOCK '
		BEGIN { for (i = 0; i < n; i++) ours[sprintf("%04X", first + i)] = 1 }
		$4 == "0A" { split($2, at, ":"); if (at[2] in ours) used = 1 }
		END { exit !used }' /proc/net/tcp
}

# take_ports: the first port of a free block goes to $ports.  The lock stays
# on descriptor 9, which the processes started later inherit: the block is
# taken until the last of them has ended.
take_ports() {
	for block in $(seq 0 $((PORT_BLOCKS - 1))); do
		ports=$((PORTS_FIRST + block * PORTS_A_BLOCK))
		exec 9>"/tmp/comfrey-ports-$(id -u)-$ports.lock"
		if flock -n 9 && ! ports_in_use "$ports"; then
			return 0
		fi
	done
	echo "no block of $PORTS_A_BLOCK free ports from $PORTS_FIRST on;" \
		"end an earlier run" >&2
	return 1
}
