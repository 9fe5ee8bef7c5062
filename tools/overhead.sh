#!/usr/bin/env bash
# Measures what the path caller - entry host - target adds to a direct call of the same target, on
# loopback. Usage: tools/overhead.sh [requests per second] [seconds] [repetitions]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-2000}
seconds=${2:-10}
repetitions=${3:-3}
bin=build
dir=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    rm -rf "$dir"
}
trap stop_all EXIT

start() { # program, name
    "$bin/$1" --settings "$dir/$2.json" >"$dir/$2.log" 2>&1 &
    pids+=("$!")
}

target_address=127.0.0.1:24001
cat >"$dir/target.json" <<END
{"name": "target-1", "address": "$target_address", "slots": 1000, "connections": 10000,
 "service_time_ms": 1, "connection_cost_ms": 0}
END
cat >"$dir/hosts.json" <<END
{"version": 1,
 "entry_hosts": [{"id": "entry-1", "zone": "east", "caller_address": "127.0.0.1:24002",
                  "peer_address": "127.0.0.1:24003", "state": "live"}],
 "targets": [{"id": "target-1", "service": "desk", "zone": "east", "address": "$target_address",
              "state": "live"}]}
END
cat >"$dir/config.json" <<END
{"name": "overhead", "regions": ["here"], "zones": [{"id": "east", "region": "here"}],
 "services": [{"id": "desk", "slots": 1000, "connections": 1000, "classes":
   [{"id": "order", "idempotent": false, "priority": 1, "deadline_ms": 5000}]}]}
END
cat >"$dir/entry.json" <<END
{"node": "entry-1", "zone": "east", "caller_address": "127.0.0.1:24002",
 "peer_address": "127.0.0.1:24003", "publish_address": "127.0.0.1:24004",
 "config_file": "$dir/config.json", "host_list_file": "$dir/hosts.json"}
END
cat >"$dir/lookup.json" <<END
{"name": "lookup-1", "zone": "east", "caller_address": "127.0.0.1:24005",
 "entry_addresses": ["127.0.0.1:24004"]}
END

load_settings() { # name, address key and value
    cat >"$dir/$1.json" <<END
{"name": "$1", $2, "duration_ms": $((seconds * 1000)), "threads": 100, "callers": 50,
 "profile": [{"at_ms": 0, "rate": $rate}], "body_bytes": 256, "report_file": "$dir/$1.report",
 "classes": [{"service": "desk", "class": "order", "idempotent": false, "share": 1,
              "timeout_ms": 5000}]}
END
}

start standin-target target
start cove-lookup lookup
sleep 0.5
start cove-entry entry
sleep 2
load_settings direct "\"target_addresses\": [\"$target_address\"]"
load_settings entry_path "\"lookup_addresses\": [\"127.0.0.1:24005\"]"

value() { # report, key
    sed -n "s/.*\"$2\": *\([0-9.]*\).*/\1/p" "$dir/$1.report" | head -n 1
}
row() {
    printf '%-12s p50_ms=%s p99_ms=%s p999_ms=%s done=%s requests=%s\n' "$1" \
        "$(value "$1" p50_ms)" "$(value "$1" p99_ms)" "$(value "$1" p999_ms)" \
        "$(value "$1" done)" "$(value "$1" requests)"
}
for ((i = 1; i <= repetitions; i++)); do
    for name in direct entry_path; do
        "$bin/cove-load" --settings "$dir/$name.json" >"$dir/$name.out" || cat "$dir/$name.out"
        row "$name"
    done
    awk -v d50="$(value direct p50_ms)" -v e50="$(value entry_path p50_ms)" \
        -v d99="$(value direct p99_ms)" -v e99="$(value entry_path p99_ms)" \
        'BEGIN { printf "added_p50_ms=%.2f added_p99_ms=%.2f\n", e50 - d50, e99 - d99 }'
done
