#!/usr/bin/env bash
# Runs the property tests with random seeds, and prints the seed and the output
# of each test program that fails:
# meta/fresh_seeds.sh [ROUNDS].
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
for round in $(seq "${1:-10}"); do
    for program in build/tests/test_*; do
        [ -x "$program" ] && [ -f "$program" ] || continue
        seed=$RANDOM$RANDOM
        if ! RC_PARAMS="seed=$seed" "$program" >/tmp/fresh.$$ 2>&1; then
            echo "RC_PARAMS=seed=$seed $program"
            tail -20 /tmp/fresh.$$
            failed=1
        fi
    done
done
rm -f /tmp/fresh.$$
exit $failed
