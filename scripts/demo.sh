#!/usr/bin/env bash
# Runs the whole path on loopback: store, host list, servers in two regions and
# four failure domains, four entry hosts. Applies a note, sends calls, prints a
# table and stops everything. Exits 0 only if every call was done and no key
# ran twice.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
stop() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap stop EXIT

start() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}

await() {
	for _ in $(seq 100); do
		if curl -fs -o /dev/null "http://$1"; then return; fi
		sleep 0.1
	done
	echo "no answer from $1" >&2
	tail -n 5 "$dir"/*.log >&2
	exit 1
}

start store bin/chivehill-standin store --address 127.0.0.1:21001
start host-list bin/chivehill-standin host-list --address 127.0.0.1:21002
servers=()
for i in 1 2 3 4 5 6; do
	name=tables-$i
	if [ "$i" -gt 4 ]; then name=design-$((i - 4)); fi
	start "$name" bin/chivehill-standin server --address "127.0.0.1:2110$i" --name "$name" --cold --cold-successes 4 --seed "$i"
	servers+=("127.0.0.1:2110$i")
done
await 127.0.0.1:21001/control/counts

head -c 24 /dev/urandom | base64 >"$dir/secret"
head -c 24 /dev/urandom | base64 >"$dir/token"
domains=(catania-a messina-b palermo-a trapani-b)
regions=(sic-east sic-east sic-west sic-west)
hosts=()
for i in 0 1 2 3; do
	cat >"$dir/host-$i.json" <<-JSON
		{
		  "host": "entry-$i", "region": "${regions[$i]}", "failure-domain": "${domains[$i]}",
		  "caller-address": "127.0.0.1:2120$i", "peer-address": "127.0.0.1:2121$i", "operator-address": "127.0.0.1:2122$i",
		  "store-address": "127.0.0.1:21001", "host-list-address": "127.0.0.1:21002",
		  "topology": [
		    {"region": "sic-east", "failure-domains": ["catania-a", "messina-b"]},
		    {"region": "sic-west", "failure-domains": ["palermo-a", "trapani-b"]}
		  ],
		  "peer-secret-file": "$dir/secret", "operator-token-file": "$dir/token", "log-format": "text"
		}
	JSON
	start "entry-$i" bin/chivehill serve --settings "$dir/host-$i.json"
	hosts+=("127.0.0.1:2120$i")
done
for i in 0 1 2 3; do await "127.0.0.1:2122$i/healthz"; done

bin/chivehill note apply examples/note.json --operators 127.0.0.1:21220 --token-file "$dir/token"
for i in 0 1 2 3; do await "127.0.0.1:2122$i/readyz"; done
bin/chivehill note status --operators 127.0.0.1:21221
IFS=,
status=0
bin/chivehill-standin load --hosts "${hosts[*]}" --servers "${servers[*]}" || status=$?
if [ "$status" -ne 0 ]; then tail -n 20 "$dir"/entry-*.log >&2; fi
exit "$status"
