#!/usr/bin/env bash
# Builds the stand-ins of the cases that have a script into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -g1 -I. -c review/rig.cc -o target/review/rig.o
for source in review/[0-9]/case.cc; do
    [ -e "$source" ] || continue
    number="$(basename "$(dirname "$source")")"
    g++ -std=c++20 -O1 -g1 -I. "$source" target/review/rig.o -o "target/review/case-$number" -lboost_json -pthread
done
