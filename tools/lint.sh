#!/usr/bin/env bash
# Checks the format of all sources and runs the linter on all of them; generated code is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^src/proto/gen/')
clang-format --dry-run --Werror "${files[@]}"
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja >/dev/null
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
    xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2>/dev/null
echo "lint: ${#files[@]} files clean"
