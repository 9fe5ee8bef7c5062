#!/usr/bin/env bash
# Installs every Debian package that the build, the tests and the tools need.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y --no-install-recommends build-essential cmake ninja-build ccache pkg-config clang-format clang-tidy libgtest-dev librapidcheck-dev libzmq3-dev cppzmq-dev libprotobuf-dev libcpp-httplib-dev libssl-dev libboost-dev libboost-program-options-dev libeasyloggingpp-dev libexpected-dev nlohmann-json3-dev libxxhash-dev zlib1g-dev gnuplot-nox
