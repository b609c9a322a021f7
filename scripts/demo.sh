#!/usr/bin/env bash
# Runs the whole path on loopback: store, host list, servers in two regions and
# four failure domains, four entry hosts. Applies a note, sends calls, prints a
# table and stops everything. Exits 0 only if every call was done and no key
# ran twice.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

start_platform
servers=()
for i in 1 2 3 4 5 6; do
	name=tables-$i
	if [ "$i" -gt 4 ]; then name=design-$((i - 4)); fi
	start "$name" bin/chivehill-standin server --address "127.0.0.1:2110$i" --name "$name" --cold --cold-successes 4 --seed "$i"
	servers+=("127.0.0.1:2110$i")
done
write_secrets
hosts=()
for i in 0 1 2 3; do
	start_host "$i"
	hosts+=("127.0.0.1:2120$i")
done
for i in 0 1 2 3; do await "127.0.0.1:2140$i/healthz"; done

bin/chivehill note apply examples/note.json --operators 127.0.0.1:21400 --token-file "$dir/token"
for i in 0 1 2 3; do await "127.0.0.1:2140$i/readyz"; done
bin/chivehill note status --operators 127.0.0.1:21401
IFS=,
status=0
bin/chivehill-standin load --hosts "${hosts[*]}" --servers "${servers[*]}" || status=$?
if [ "$status" -ne 0 ]; then tail -n 20 "$dir"/entry-*.log >&2; fi
exit "$status"
