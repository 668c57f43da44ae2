#!/usr/bin/env bash
# Builds and runs all tests: meta/test.sh [FOLDER [SANITIZERS]].
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
meta/build.sh "$folder" "${2:-}"
export ASAN_OPTIONS=detect_leaks=1 TSAN_OPTIONS="halt_on_error=1"
ctest --test-dir "$folder" --output-on-failure -j "${TURMERIC_TEST_JOBS:-4}"
