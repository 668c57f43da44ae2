#!/usr/bin/env bash
# Builds and runs all tests: meta/test.sh [FOLDER [SANITIZERS]].
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
meta/build.sh "$folder" "${2:-}"
export ASAN_OPTIONS=detect_leaks=1 TSAN_OPTIONS="halt_on_error=1"
# The tests in KNOWN-RED.txt are skipped; the CI script prints them.
red=$(sed -n 's/^test: \([a-z_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')
ctest --test-dir "$folder" --output-on-failure \
    -j "${TURMERIC_TEST_JOBS:-4}" ${red:+-E "^($red)\$"}
