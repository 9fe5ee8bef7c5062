#!/usr/bin/env bash
# Regenerates src/proto/gen from src/proto/*.proto; needs protobuf-compiler. The output is committed.
set -euo pipefail
cd "$(dirname "$0")/../src/proto"
mkdir -p gen
protoc --cpp_out=gen ./*.proto
