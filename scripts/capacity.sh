#!/usr/bin/env bash
# Measures what control costs an entry host: starts HOSTS entry hosts and a
# configuration with SERVERS servers in POOLS pools, sends no calls, and prints
# the mean over the hosts for SECONDS seconds.
# Usage: scripts/capacity.sh HOSTS SERVERS POOLS SECONDS
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
hosts=$1 servers=$2 pools=$3 seconds=$4

start_platform
start server bin/chivehill-standin server --address 127.0.0.1:21101 --name all --slots 64
write_secrets
for ((i = 0; i < hosts; i++)); do start_host "$i"; done
for ((i = 0; i < hosts; i++)); do await "127.0.0.1:$((21400 + i))/healthz"; done
awk -v servers="$servers" -v pools="$pools" 'BEGIN {
	split("catania-a messina-b palermo-a trapani-b", domain, " ")
	printf "{\"note\": \"size\", \"added\": [{\"service\": {\"service\": \"all\"}}"
	for (p = 0; p < pools; p++) {
		printf ",\n{\"pool\": {\"pool\": \"pool-%d\", \"servers\": [", p
		first = 1
		for (s = p; s < servers; s += pools) {
			printf "%s{\"server\": \"server-%d\", \"address\": \"127.0.0.1:21101\", \"failure-domain\": \"%s\", \"slots\": 4}", first ? "" : ", ", s, domain[int(s / pools) % 4 + 1]
			first = 0
		}
		printf "]}}, {\"route\": {\"route\": \"route-%d\", \"service\": \"all\", \"path-prefix\": \"/p%d\", \"pool\": \"pool-%d\", \"idempotent\": true, \"deadline-ms\": 2000}}", p, p, p
	}
	print "]}"
}' >"$dir/note.json"
bin/chivehill note apply "$dir/note.json" --operators 127.0.0.1:21400 --token-file "$dir/token" >"$dir/applied"
for ((i = 0; i < hosts; i++)); do await "127.0.0.1:$((21400 + i))/readyz"; done
sleep 6

total() {
	local sum=0 i
	for ((i = 0; i < hosts; i++)); do
		sum=$(awk -v a="$sum" -v b="$(metric "127.0.0.1:$((21400 + i))" "$1")" 'BEGIN { printf "%.6f", a + b }')
	done
	echo "$sum"
}
cpu=$(total process_cpu_seconds_total)
region=$(total 'chivehill_peer_bytes_total{scope="region"}')
link=$(total 'chivehill_peer_bytes_total{scope="link"}')
calls=$(total chivehill_store_calls_total)
sleep "$seconds"
cpu2=$(total process_cpu_seconds_total)
region2=$(total 'chivehill_peer_bytes_total{scope="region"}')
link2=$(total 'chivehill_peer_bytes_total{scope="link"}')
calls2=$(total chivehill_store_calls_total)
rss=$(total process_resident_memory_bytes)
heap=$(total go_memstats_heap_inuse_bytes)
awk -v h="$hosts" -v s="$servers" -v p="$pools" -v t="$seconds" -v c="$cpu" -v c2="$cpu2" -v r="$region" -v r2="$region2" \
	-v l="$link" -v l2="$link2" -v n="$calls" -v n2="$calls2" -v m="$rss" -v g="$heap" 'BEGIN {
	printf "hosts %d  servers %d  pools %d  |  per host: cpu %.2f %% of a core, resident %.1f MB, heap %.1f MB, sent in region %.2f KB/s, across link %.2f KB/s, store calls %.2f /s\n",
		h, s, p, 100 * (c2 - c) / t / h, m / h / 1e6, g / h / 1e6, (r2 - r) / t / h / 1e3, (l2 - l) / t / h / 1e3, (n2 - n) / t / h
}'

# One more change of configuration: its size, and the time until all hosts confirm it.
echo '{"note": "out", "added": [{"domain-out": {"failure-domain": "trapani-b"}}]}' >"$dir/out.json"
before=$(total 'chivehill_peer_bytes_total')
start_ns=$(date +%s%N)
confirmed=$(bin/chivehill note apply "$dir/out.json" --operators 127.0.0.1:21400 --token-file "$dir/token")
end_ns=$(date +%s%N)
sleep 0.3
after=$(total 'chivehill_peer_bytes_total')
size=$(curl -fs http://127.0.0.1:21400/v1/configuration | wc -c)
awk -v ns="$((end_ns - start_ns))" -v size="$size" -v b="$before" -v a="$after" -v h="$hosts" -v text="$confirmed" 'BEGIN {
	printf "  a change: configuration of %d bytes, %s in %.0f ms, %.1f KB sent per host\n", size, text, ns / 1e6, (a - b) / h / 1e3
}'
