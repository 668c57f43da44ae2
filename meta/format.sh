#!/usr/bin/env bash
# Formats the C++ sources; with --check, only reports unformatted files.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run -Werror)
git ls-files -co --exclude-standard '*.cpp' '*.hpp' |
    grep -v '^schema/generated/' | xargs -r -P 8 -n 16 clang-format "${mode[@]}"
