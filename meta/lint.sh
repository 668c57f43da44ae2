#!/usr/bin/env bash
# Runs the linters on the sources: meta/lint.sh [FOLDER [FILE...]]. Needs a
# configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift $(($# < 1 ? $# : 1))
jobs=${TURMERIC_JOBS:-$(nproc)}
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files '*.cpp' |
        grep -vE '^(schema/generated|tests)/')
fi
TURMERIC_JOBS=$jobs python3 meta/tidy.py "$folder" "${files[@]}"
cppcheck --quiet --std=c++20 --language=c++ -I . -j "$jobs" \
    --enable=warning,performance,portability --inline-suppr \
    --suppress=unknownMacro --suppress=internalAstError \
    --suppress=missingInclude --error-exitcode=1 \
    libraries platform services utilities standins bench
python3 meta/check_sources.py
