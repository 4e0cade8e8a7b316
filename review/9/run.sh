#!/usr/bin/env bash
# Starts the case's program, which starts daemons, store, servers and callers and ends them.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mimosahubd ] && [ -x target/review-2/sustained_load ] || exit 2
exec timeout 120 target/review-2/sustained_load review/9
