# Functions for scripts that run the programs as child processes.  Sourced after
# `cd` to the root of the repository.  Settings and logs are written to $run.
run=$(mktemp -d -t "comfrey-$(basename "$0" .sh).XXXXXX")
pids=""
stop_all() {
	[ -n "$pids" ] && kill -TERM $pids 2>/dev/null || true
	wait 2>/dev/null || true
}
trap stop_all EXIT INT TERM

# start NAME PROGRAM ARG...: starts a process, with its output in $run/NAME.log
# and its process ID in $pid_NAME
start() {
	name=$1
	shift
	"$@" >"$run/$name.log" 2>&1 &
	pids="$pids $!"
	eval "pid_$(echo "$name" | tr - _)=$!"
}

# write_settings NAME TEXT: writes a settings file and prints its path
write_settings() {
	printf '%b\n' "$2" >"$run/$1.toml"
	echo "$run/$1.toml"
}
