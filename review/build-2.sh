#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into out/review-2; needs a C++20 compiler and
# nlohmann-json, which the deploy file declares.
set -euo pipefail
cd "$(dirname "$0")/.."
out=out/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for part in wire platform host crowd; do
    c++ "${flags[@]}" -c "review/stand-2/$part.cpp" -o "$out/$part.o" &
done
wait
for source in review/stand-2/*.cpp; do
    name=$(basename "$source" .cpp)
    case "$name" in wire | platform | host | crowd) continue ;; esac
    c++ "${flags[@]}" "$source" "$out/wire.o" "$out/platform.o" "$out/host.o" "$out/crowd.o" -o "$out/$name" &
done
wait
ls "$out"
