# Sourced by the scripts that run gateways and rank agents against the
# stand-in of the platform on loopback, on the ports from $ports on: the
# store's and the targets', then those of the gateways.

. scripts/processes.sh

# front N: where gateway N takes callers
front() { echo "127.0.0.1:$((ports + 100 + $1))"; }
# ready N: where it says whether it is ready
ready() { echo "127.0.0.1:$((ports + 110 + $1))"; }
# control N: where peers and agents link to it
control() { echo "127.0.0.1:$((ports + 120 + $1))"; }

# platform_settings NAME: what the platform would tell a process, from standard input
platform_settings() {
	{
		cat
		echo "ip=127.0.0.1"
		echo "zone=dc1"
		echo "seed-addrs=$(control 1),$(control 2),$(control 3)"
		echo "platform.addr=127.0.0.1:$ports"
		echo "limits.memory-mb=128"
		echo "bounds.require-fence=true"
	} >"$run/$1.conf"
	echo "$run/$1.conf"
}

# start_gateway N: the gateway of seed N, from the directory $programs
start_gateway() {
	conf=$(platform_settings "gateway-$1" <<-END
		node-name=gateway-$1
		listen.front=$(front "$1")
		listen.ready=$(ready "$1")
		listen.control=$(control "$1")
	END
	)
	COMFREYPOST_CONFIG=$conf start "gateway-$1" \
		"${programs:-target}/comfrey-gateway" \
		--metrics-port "$((ports + 130 + $1))"
}

# start_agent N PORT: the agent of the rank at PORT, from $programs
start_agent() {
	conf=$(platform_settings "agent-$1" <<-END
		node-name=agent-$1
		app=127.0.0.1:$2
	END
	)
	COMFREYPOST_CONFIG=$conf start "agent-$1" \
		"${programs:-target}/comfrey-rank-agent"
}

# await_ready N: until gateway N says that it is ready, 10 s at most
await_ready() {
	for i in $(seq 100); do
		curl -sf "http://$(ready "$1")/v1/readyz" >/dev/null && return 0
		sleep 0.1
	done
	echo "gateway $1 is not ready; see $run" >&2
	return 1
}
