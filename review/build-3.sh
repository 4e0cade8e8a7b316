#!/usr/bin/env bash
# Builds the programs of the scripts of the third review into target/review-3/. They need a C++20
# compiler only; the build line of the deploy file makes the daemon that they start.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
flags=(-std=c++20 -O1 -pthread)
g++ "${flags[@]}" -c review/rig_3.cc -o target/review-3/rig_3.o
for source in review/1[1-5]/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review-3/rig_3.o -o "target/review-3/case-$number"
done
