#!/usr/bin/env bash
# Runs entry hosts as processes under random faults, one seed after the other.
# Usage: tools/process_soak.sh [FIRST_SEED [LAST_SEED [SECONDS [PROGRAM [OPTION...]]]]]
# Further options go to cove-process-soak, for example --schedule blind-followers --zones 3.
set -uo pipefail
cd "$(dirname "$0")/.."
first=${1:-1}
last=${2:-$first}
seconds=${3:-60}
program=${4:-build/cove-host}
shift $(($# < 4 ? $# : 4))
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target cove-host cove-process-soak >/dev/null || exit 2
logs=$(mktemp -d)
passed=0
failed=0
for seed in $(seq "$first" "$last"); do
    directory="$logs/$seed"
    mkdir "$directory"
    if build/cove-process-soak --seed "$seed" --seconds "$seconds" --program "$program" \
        --directory "$directory" "$@" >"$directory/journal" 2>&1; then
        passed=$((passed + 1))
        tail -n 1 "$directory/journal"
        rm -rf "$directory"
    else
        failed=$((failed + 1))
        cat "$directory/journal"
        echo "logs are in $directory"
    fi
done
rmdir "$logs" 2>/dev/null
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
