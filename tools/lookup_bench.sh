#!/usr/bin/env bash
# Measures one cove-lookup under closed-loop callers, one JSON object per number of callers.
# Usage: tools/lookup_bench.sh [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-4}
dir=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    rm -rf "$dir"
}
trap stop_all EXIT

entry_hosts=""
for i in $(seq 1 54); do
    entry_hosts+="${entry_hosts:+,}{\"id\": \"entry-$i\", \"zone\": \"east\","
    entry_hosts+=" \"caller_address\": \"127.0.0.1:$((24100 + i))\","
    entry_hosts+=" \"peer_address\": \"127.0.0.1:$((24200 + i))\", \"state\": \"live\"}"
done
echo "{\"version\": 1, \"entry_hosts\": [$entry_hosts], \"targets\": []}" >"$dir/hosts.json"
cat >"$dir/config.json" <<END
{"name": "lookups", "regions": ["here"], "zones": [{"id": "east", "region": "here"}],
 "services": [{"id": "desk", "slots": 10, "connections": 100, "classes":
   [{"id": "order", "idempotent": false, "priority": 1, "deadline_ms": 5000}]}]}
END
cat >"$dir/entry.json" <<END
{"node": "entry-1", "zone": "east", "caller_address": "127.0.0.1:24101",
 "peer_address": "127.0.0.1:24201", "publish_address": "127.0.0.1:24301",
 "config_file": "$dir/config.json", "host_list_file": "$dir/hosts.json"}
END
cat >"$dir/lookup.json" <<END
{"name": "lookup-1", "zone": "east", "caller_address": "127.0.0.1:24302",
 "entry_addresses": ["127.0.0.1:24301"]}
END
build/cove-entry --settings "$dir/entry.json" >"$dir/entry.log" 2>&1 &
pids+=("$!")
build/cove-lookup --settings "$dir/lookup.json" >"$dir/lookup.log" 2>&1 &
lookup=$!
pids+=("$lookup")
sleep 3

# Processor time of cove-lookup so far, in clock ticks of 10 ms.
ticks() { awk '{print $14 + $15}' "/proc/$lookup/stat"; }
for callers in 2 4 8; do
    before=$(ticks)
    build/lookup-bench 127.0.0.1:24302 "$callers" "$seconds"
    after=$(ticks)
    echo "{\"callers\":$callers,\"seconds\":$seconds,\"lookup_cpu_ms\":$(((after - before) * 10)),\"lookup_resident_kb\":$(awk '/VmRSS/ {print $2}' "/proc/$lookup/status")}"
done
