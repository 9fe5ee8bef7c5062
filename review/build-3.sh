#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/stand-3/*.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -pthread -c -o "$out/$(basename "$source" .cpp).o" "$source" &
done
wait
for source in review/1[1-5]/*.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -pthread -o "$out/$(basename "$source" .cpp)" \
        "$source" "$out/stand.o" "$out/deployment.o"
done
