#!/usr/bin/env bash
# Measures what an entry host adds to a call: one host between a caller and a
# stand-in server on loopback, against a direct connection in the same run.
# Usage: scripts/entry.sh RATE SECONDS
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
rate=$1 seconds=$2

start_platform
start server bin/chivehill-standin server --address 127.0.0.1:21101 --name one --slots 12 --mean-ms 0
write_secrets
start_host 0
await 127.0.0.1:21400/healthz
cat >"$dir/note.json" <<'JSON'
{"note": "one", "added": [
  {"service": {"service": "one"}},
  {"pool": {"pool": "one", "cold-concurrency": 12, "servers": [{"server": "one", "address": "127.0.0.1:21101", "failure-domain": "catania-a", "slots": 12}]}},
  {"route": {"route": "one", "service": "one", "path-prefix": "/", "pool": "one", "idempotent": true, "deadline-ms": 2000}}
]}
JSON
bin/chivehill note apply "$dir/note.json" --operators 127.0.0.1:21400 --token-file "$dir/token" >"$dir/applied"
await 127.0.0.1:21400/readyz
sleep 6
bin/chivehill-bench entry --direct 127.0.0.1:21101 --through 127.0.0.1:21200 --operators 127.0.0.1:21400 --rate "$rate" --seconds "$seconds"
