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
printf '%s\0' "${files[@]}" |
    xargs -0 -P "$jobs" -n 1 clang-tidy --quiet -p "$folder" 2>/tmp/lint.$$ ||
    { cat /tmp/lint.$$; rm -f /tmp/lint.$$; exit 1; }
rm -f /tmp/lint.$$
cppcheck --quiet --std=c++20 --language=c++ -I . -j "$jobs" \
    --enable=warning,performance,portability --inline-suppr \
    --suppress=unknownMacro --suppress=internalAstError \
    --suppress=missingInclude --error-exitcode=1 \
    libraries services utilities standins bench
python3 meta/check_sources.py
