#!/usr/bin/env bash
# Builds the stand-ins and the program of each case into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
read -ra flags <<<"$(pkg-config --cflags cpp-httplib)"
read -ra libraries <<<"$(pkg-config --libs cpp-httplib) -lssl -lcrypto -lpthread"
compile() { g++ -std=c++20 -O1 -Wall -Wextra "${flags[@]}" -Ireview/stand "$@"; }
compile -c review/stand/stand.cpp -o build-review/stand.o &
for source in review/[1-5]/drill.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    compile -c "$source" -o "build-review/drill-$number.o" &
done
wait
for object in build-review/drill-*.o; do
    number=${object##*drill-}
    number=${number%.o}
    g++ "$object" build-review/stand.o "${libraries[@]}" -o "build-review/drill-$number"
done
