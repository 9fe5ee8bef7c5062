#!/usr/bin/env bash
# Measures every slope that docs/CAPACITY.md uses, as JSON lines; each line names its benchmark.
# Usage: tools/slopes.sh [FILE]. Needs a built tree and a machine that does nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-/dev/stdout}
named() { sed "s/^{/{\"bench\":\"$1\",/"; }
{
    build/operation-bench | named operation
    build/membership-bench | named membership
    build/steering-bench | named steering
    tools/config_bench.sh | named config
    tools/lookup_bench.sh | named lookup
} >"$out"
