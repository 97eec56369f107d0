#!/bin/sh
# Sends the same load through one entry to two groups of 16 ranks: one is never
# rebalanced, one uses the bounded placement policy.  Half way through, other
# experts become popular.  Prints the totals of the callers and of the engines
# for each group, from one run; docs/PLACEMENT.md has the figures.
set -eu
cd "$(dirname "$0")/.."
make -s comfrey-entry comfrey-agent comfrey-fake-engine comfrey-fake-config \
	comfrey-fake-vmlist comfrey-fake-weights comfrey-load
. scripts/processes.sh

ranks=16
start weights ./comfrey-fake-weights --settings "$(write_settings weights '[weights]\nlisten = "127.0.0.1:7700"\n')"
for group in none:73 bounded:74; do
	policy=${group%%:*}
	port=${group#*:}
	start "engine-$policy" ./comfrey-fake-engine --settings "$(write_settings "engine-$policy" "[engine]\nlisten = \"127.0.0.1:${port}99\"\nranks = $ranks\nexperts = 64\nplaces = 5\nbatch_max = 192\nstep_base_us = 1000\nstep_per_token_us = 300\nweights_url = \"http://127.0.0.1:7700\"\n")"
	members=$(for r in $(seq 0 $((ranks - 1))); do
		printf '"127.0.0.1:%s%02d"\n' "$port" "$r"
	done | paste -sd, -)
	for r in $(seq 0 $((ranks - 1))); do
		start "agent-$policy-$r" ./comfrey-agent --settings "$(write_settings "agent-$policy-$r" "[agent]\nlisten = \"127.0.0.1:$port$(printf %02d "$r")\"\ntarget_url = \"http://127.0.0.1:${port}99\"\n[group]\nmembers = [$members]\nrank = $r\ninterval_ms = 2000\npolicy = \"$policy\"\n")"
	done
	printf '{"schema":1,"kind":"group","name":"g-%s","target":"engine","agents":[%s]}\n' \
		"$policy" "$members" >>"$run/records.jsonl"
	printf '{"schema":1,"kind":"intent","name":"i-%s","org":"o","service":"%s","model":"m","groups":["g-%s"],"priority":5,"worth":1}\n' \
		"$policy" "$policy" "$policy" >>"$run/records.jsonl"
	for i in $(seq 12000); do
		printf '{"org":"o","service":"%s","model":"m","deadline_ms":60000,"body":{"prompt":"%s-%d.","max_tokens":24}}\n' \
			"$policy" "$policy" "$i"
	done >"$run/$policy.jsonl"
done
start config ./comfrey-fake-config --settings "$(write_settings config "[config]\nlisten = \"127.0.0.1:7000\"\nrecords = \"$run/records.jsonl\"\n")"
start vmlist ./comfrey-fake-vmlist
start entry ./comfrey-entry
sleep 3
for policy in none bounded; do
	./comfrey-load --session "$run/$policy.jsonl" --threads 96 \
		--entry http://127.0.0.1:8080 >"$run/$policy.out" 2>&1 &
	load_pids="${load_pids:-} $!"
done
sleep 7
curl -s "http://127.0.0.1:7399/test/drift?shift=29" >/dev/null
curl -s "http://127.0.0.1:7499/test/drift?shift=29" >/dev/null
wait $load_pids || true
for group in none:7399 bounded:7499; do
	policy=${group%%:*}
	echo "$policy: $(paste -sd' ' "$run/$policy.out")"
	curl -s "http://127.0.0.1:${group#*:}/test/steps" | sed 's/.*"steps":\([0-9]*\),"switches":\([0-9]*\),"mixed":\([0-9]*\).*"slowest":\([0-9]*\),"mean":\([0-9]*\).*/\1 \2 \3 \4 \5/' |
		awk -v p="$policy" '{printf "%s: steps=%d changes=%d mixed=%d mean_skew=%.2f\n", p, $1, $2, $3, $4 / $5}'
done
grep -h "E1501" "$run"/agent-bounded-*.log | awk '{for (i = 1; i <= NF; i++) if ($i ~ /^moves=/) {sub("moves=", "", $i); n += $i}} END {print "bounded: experts moved=" n}'
