#!/usr/bin/env bash
# Builds the programs of the second review, one from each source in review/6 to review/10,
# into target/review-2. They use nothing of the project's own code.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
compiler="${CXX:-c++}"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
"$compiler" "${flags[@]}" -c review/rig_2.cc -o "$out/rig_2.o"
for source in review/[6-9]/*.cc review/10/*.cc; do
    if [ -e "$source" ]; then
        "$compiler" "${flags[@]}" "$source" "$out/rig_2.o" -o "$out/$(basename "$source" .cc)"
    fi
done
