#!/usr/bin/env bash
# Runs a fixed set of seeds, which must stay clean, and every break, which must turn red. Passes over
# the seeds and breaks in KNOWN-RED.txt and prints them. Then entry hosts run as processes under one
# seed of faults. Needs build/cove-soak, build/cove-process-soak and build/cove-host.
set -uo pipefail
cd "$(dirname "$0")/.."
soak=build/cove-soak
steps=60000
first_break_seed=14
passed=0
failed=0

for seed in $(seq 0 29); do
    if out=$("$soak" --seed "$seed" --steps "$steps" 2>&1); then
        passed=$((passed + 1))
    elif grep -qs "^soak.seed.$seed " KNOWN-RED.txt; then
        echo "known red: $(grep "^soak.seed.$seed " KNOWN-RED.txt)"
    else
        failed=$((failed + 1))
        printf '%s\n' "$out" | tail -n 40
    fi
    printf '%s\n' "$out" | tail -n 1
done
for name in $("$soak" --list-breaks | awk '{print $1}'); do
    if ! "$soak" --break "$name" --seed "$first_break_seed" --steps "$steps" >/dev/null 2>&1; then
        passed=$((passed + 1))
    elif grep -qs "^soak.break.$name " KNOWN-RED.txt; then
        echo "known red: $(grep "^soak.break.$name " KNOWN-RED.txt)"
    else
        failed=$((failed + 1))
        echo "break $name stays unseen"
    fi
done
process_seed=1
process_seconds=45
logs=$(mktemp -d)
if out=$(build/cove-process-soak --seed "$process_seed" --seconds "$process_seconds" \
    --program build/cove-host --directory "$logs" 2>&1); then
    passed=$((passed + 1))
    rm -rf "$logs"
else
    failed=$((failed + 1))
    printf '%s\n' "$out" | tail -n 40
    echo "logs are in $logs"
fi
printf '%s\n' "$out" | tail -n 1
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
