# Sourced by scripts that run gateways and rank agents against the stand-in of
# the platform on loopback.  The ports start at $ports: first those of the store
# and the targets, then those of the gateways.

. scripts/processes.sh

# front_addr N: the address of gateway N for callers
front_addr() { echo "127.0.0.1:$((ports + 100 + $1))"; }
# ready_addr N: the address of its readiness page
ready_addr() { echo "127.0.0.1:$((ports + 110 + $1))"; }
# control_addr N: its address for peers and agents
control_addr() { echo "127.0.0.1:$((ports + 120 + $1))"; }

# seed_addrs: the addresses of the first $n_seeds (default: 3) gateways
seed_addrs() {
	for n in $(seq "${n_seeds:-3}"); do control_addr "$n"; done | paste -sd, -
}

# write_platform_settings NAME: writes the settings that the platform would give
# a process, with the lines of standard input first, and prints the file name
write_platform_settings() {
	{
		cat
		echo "ip=127.0.0.1"
		echo "zone=dc1"
		echo "seed-addrs=$(seed_addrs)"
		echo "platform.addr=127.0.0.1:$ports"
		echo "limits.memory-mb=128"
		echo "bounds.require-fence=true"
	} >"$run/$1.conf"
	echo "$run/$1.conf"
}

# start_gateway N: starts the gateway of seed N from the directory $programs
start_gateway() {
	conf=$(write_platform_settings "gateway-$1" <<-END
		node-name=gateway-$1
		listen.front=$(front_addr "$1")
		listen.ready=$(ready_addr "$1")
		listen.control=$(control_addr "$1")
	END
	)
	COMFREYPOST_CONFIG=$conf start "gateway-$1" \
		"${programs:-target}/comfrey-gateway" \
		--metrics-port "$((ports + 130 + $1))"
}

# start_agent N PORT: starts the agent of the rank at PORT from $programs
start_agent() {
	conf=$(write_platform_settings "agent-$1" <<-END
		node-name=agent-$1
		app=127.0.0.1:$2
	END
	)
	COMFREYPOST_CONFIG=$conf start "agent-$1" \
		"${programs:-target}/comfrey-rank-agent"
}

# await_ready N: waits until gateway N is ready, for at most 10 s
await_ready() {
	for i in $(seq 100); do
		curl -sf "http://$(ready_addr "$1")/v1/readyz" >/dev/null && return 0
		sleep 0.1
	done
	echo "gateway $1 is not ready after 10 s; see $run" >&2
	return 1
}
