#!/usr/bin/env bash
# Runs every benchmark program of the build, one after another, and prints its "bench ..." lines.
# usage: bench.sh BUILD_FOLDER
set -euo pipefail
build=$1
for program in "$build"/bin/bench_*; do
    [ -x "$program" ] && "$program"
done
