#!/usr/bin/env bash
# Prints what the configuration costs an entry host, one JSON object per size, each from a process of its own.
set -euo pipefail
cd "$(dirname "$0")/.."
for size in "15000 1300" "30000 1300" "60000 1300" "120000 1300" "30000 325" "30000 650"; do
    read -r blocks sites <<<"$size"
    build/config-bench "$blocks" "$sites"
done
