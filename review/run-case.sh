#!/usr/bin/env bash
# Runs the stand-ins of one case. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
# Usage: review/run-case.sh NUMBER
set -uo pipefail
cd "$(dirname "$0")/.."
number="$1"
program="target/review/case-$number"
if [ ! -x "$program" ] || [ ! -x target/mimosahubd ]; then
    echo "review: build target/mimosahubd and run review/build.sh first" >&2
    exit 2
fi
SCRATCH="$(mktemp -d)"
export SCRATCH RECORD="review/$number/record.txt" TROUBLE="${TROUBLE:-1}"
timeout --signal=KILL 118 "$program"
status=$?
if [ -n "${KEEP:-}" ]; then
    echo "$SCRATCH"
else
    rm -rf "$SCRATCH"
fi
[ "$status" -le 1 ] && exit "$status"
exit 2
