#!/usr/bin/env bash
# Builds everything: meta/build.sh [FOLDER [SANITIZERS [TARGET...]]].
# TURMERIC_JOBS limits the parallel jobs.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
sanitizers=${2:-}
shift $(($# < 2 ? $# : 2))
# With these, ccache shares objects between checkouts of the same sources.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
jobs=${TURMERIC_JOBS:-$(nproc)}
cmake -S . -B "$folder" -G Ninja -DTURMERIC_SANITIZE="$sanitizers" \
    -DTURMERIC_WARNINGS_AS_ERRORS=ON --log-level=WARNING >/dev/null
cmake --build "$folder" -j "$jobs" ${1:+--target "$@"}
