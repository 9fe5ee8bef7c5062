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
# Case 5 starts the build that the users ran before: the last commit of the sitting of 4 December.
production=6c824d3
if [ -d review/5 ] && [ ! -x build-review/production/target/cove-host ]; then
    mkdir -p build-review/production
    if git archive "$production" | tar -x -C build-review/production --exclude=journal; then
        (cd build-review/production &&
            cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DCOVE_PROGRAMS_ONLY=ON &&
            cmake --build target --target cove-host -j6)
    else
        echo "no commit $production in this checkout: case 5 can't run"
    fi
fi
