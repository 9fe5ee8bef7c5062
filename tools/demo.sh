#!/usr/bin/env bash
# Runs a whole deployment on this machine under load. Usage: tools/demo.sh [mreznik|fundusz] [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${COVE_SKIP_INSTALL:-}" != 1 ]; then
    tools/install_packages.sh
fi
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
directory=$(mktemp -d)
status=0
build/cove-demo --deployment "${1:-mreznik}" --seconds "${2:-30}" --directory "$directory" || status=$?
if [ "$status" = 0 ]; then
    rm -rf "$directory"
else
    echo "logs are in $directory" >&2
fi
exit "$status"
