#!/usr/bin/env bash
# Builds and runs the test programs under sanitizers: address and undefined behaviour for all,
# thread for those of the layers that own threads.
# usage: sanitize.sh JOBS
set -euo pipefail
jobs=$1

cmake -S . -B build-asan -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DBANYANKEEL_SANITIZE=address,undefined >/dev/null
cmake --build build-asan -j "$jobs"
ctest --test-dir build-asan --output-on-failure -j 4

cmake -S . -B build-tsan -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DBANYANKEEL_SANITIZE=thread >/dev/null
cmake --build build-tsan -j "$jobs"
ctest --test-dir build-tsan --output-on-failure -j 2 -R 'transport|node|timeline'
