#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/programs/*.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/rig -I . "$source" -o "review/bin/$(basename "$source" .cc)"
done
