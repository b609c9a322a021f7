# Functions shared by the scripts: start processes on loopback, stop them at
# the end, write settings of entry hosts.

dir=$(mktemp -d)
pids=()

stop_all() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap stop_all EXIT

# start NAME COMMAND...: runs a command in the background.
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}

# await URL: waits until an address answers with success.
await() {
	for _ in $(seq 300); do
		if curl -fs -o /dev/null "http://$1"; then return; fi
		sleep 0.1
	done
	echo "no answer from $1" >&2
	tail -n 5 "$dir"/*.log >&2
	exit 1
}

# write_secrets: writes the shared secret and the operators' token.
write_secrets() {
	head -c 24 /dev/urandom | base64 >"$dir/secret"
	head -c 24 /dev/urandom | base64 >"$dir/token"
}

domains=(catania-a messina-b palermo-a trapani-b)
regions=(sic-east sic-east sic-west sic-west)

# start_host I: starts entry host I on ports 21200+I, 21300+I and 21400+I.
start_host() {
	local i=$1 d=$(($1 % 4))
	cat >"$dir/host-$i.json" <<-JSON
		{
		  "host": "entry-$i", "region": "${regions[$d]}", "failure-domain": "${domains[$d]}",
		  "caller-address": "127.0.0.1:$((21200 + i))", "peer-address": "127.0.0.1:$((21300 + i))",
		  "operator-address": "127.0.0.1:$((21400 + i))",
		  "store-address": "127.0.0.1:21001", "host-list-address": "127.0.0.1:21002",
		  "topology": [
		    {"region": "sic-east", "failure-domains": ["catania-a", "messina-b"]},
		    {"region": "sic-west", "failure-domains": ["palermo-a", "trapani-b"]}
		  ],
		  "peer-secret-file": "$dir/secret", "operator-token-file": "$dir/token", "log-format": "text"
		}
	JSON
	start "entry-$i" bin/chivehill serve --settings "$dir/host-$i.json"
}

# start_platform: starts the store and the host list.
start_platform() {
	start store bin/chivehill-standin store --address 127.0.0.1:21001
	start host-list bin/chivehill-standin host-list --address 127.0.0.1:21002
	await 127.0.0.1:21001/control/counts
}

# metric ADDRESS NAME: prints the sum of a metric over its labels.
metric() {
	curl -fs "http://$1/metrics" | awk -v name="$2" 'index($1, name) == 1 { sum += $2 } END { printf "%.6f\n", sum }'
}
