# Sourced by scripts that start listening processes.  Allocates a block of ports
# to each run, so that concurrent runs, of one or several source trees, do not
# collide.

# Above the ports of the tests and below the ephemeral ports of the kernel.
FIRST_PORT=30000
PORTS_PER_BLOCK=200
N_PORT_BLOCKS=12

# is_block_in_use FIRST: succeeds if a process listens on a port of the block
# that starts at FIRST
is_block_in_use() {
	awk -v first="$1" -v n=$PORTS_PER_BLOCK '
		BEGIN { for (i = 0; i < n; i++) in_block[sprintf("%04X", first + i)] = 1 }
		$4 == "0A" { split($2, at, ":"); if (at[2] in in_block) used = 1 }
		END { exit !used }' /proc/net/tcp
}

# allocate_ports: sets $ports to the first port of a free block.  The lock is
# held on file descriptor 9, which processes started later inherit, so that the
# block stays locked until the last of them has ended.
allocate_ports() {
	for block in $(seq 0 $((N_PORT_BLOCKS - 1))); do
		ports=$((FIRST_PORT + block * PORTS_PER_BLOCK))
		exec 9>"/tmp/comfrey-ports-$(id -u)-$ports.lock"
		if flock -n 9 && ! is_block_in_use "$ports"; then
			return 0
		fi
	done
	echo "no free block of $PORTS_PER_BLOCK ports from $FIRST_PORT on;" \
		"stop an earlier run" >&2
	return 1
}
