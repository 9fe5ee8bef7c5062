#!/usr/bin/env bash
# Runs real processes under a seeded schedule of faults. Usage: tools/chaos.sh --seed N [--seconds S]
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
directory=$(mktemp -d)
status=0
build/cove-chaos --directory "$directory" "$@" || status=$?
if [ "$status" = 0 ]; then
    rm -rf "$directory"
else
    echo "logs are in $directory" >&2
fi
exit "$status"
