#!/usr/bin/env bash
# Builds the programs of the cases in review/6 to review/10, with their stand-ins, below target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/programs-2/*.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. -o "target/review-2/$(basename "$source" .cc)" "$source"
done
