# Helpers for scripts that start our programs as sibling processes; read
# with `.`, after `cd` to the repository.  Settings and logs go to $run.
run=$(mktemp -d -t "comfrey-$(basename "$0" .sh).XXXXXX")
pids=""
stop() {
	[ -n "$pids" ] && kill -TERM $pids 2>/dev/null || true
	wait 2>/dev/null || true
}
trap stop EXIT INT TERM

# start NAME PROGRAM ARG...: its log goes to $run/NAME.log, its pid to $pid_NAME.
start() {
	name=$1
	shift
	"$@" >"$run/$name.log" 2>&1 &
	pids="$pids $!"
	eval "pid_$(echo "$name" | tr - _)=$!"
}

# settings NAME TEXT: writes a settings file and prints its path.
settings() {
	printf '%b\n' "$2" >"$run/$1.toml"
	echo "$run/$1.toml"
}
