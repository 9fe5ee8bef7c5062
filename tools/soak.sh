#!/usr/bin/env bash
# Builds and starts one random run: tools/soak.sh --seed N [--steps M] [--break NAME] [--list-breaks]
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/build.ninja ] || cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target cove-soak >/dev/null
exec build/cove-soak "$@"
