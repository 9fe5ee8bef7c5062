#!/usr/bin/env bash
# Plays the case whose folder is given; used by the run.sh of each case.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
root=$(cd "$case_folder/../.." && pwd)
number=$(basename "$case_folder")
program=$root/build-review/drill-$number
host=$root/target/cove-host
[ -x "$program" ] && [ -x "$host" ] || { echo "build first: the deploy file's build, review/build.sh"; exit 2; }
folder=$(mktemp -d)
end_processes() {
    [ -f "$folder/pids" ] || return 0
    while read -r pid; do
        # Only a process of this run still has the folder in its arguments.
        if [ -r "/proc/$pid/cmdline" ] && tr "\0" " " <"/proc/$pid/cmdline" | grep -q "$folder"; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done <"$folder/pids"
}
timeout -k 2 112 "$program" "$folder" "$host" "$case_folder/record.txt"
result=$?
end_processes
rm -rf "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
