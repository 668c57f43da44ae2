#!/usr/bin/env bash
# Builds the programs as packagers do: meta/build_release.sh [FOLDER].
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build-release}
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DTURMERIC_TESTS=OFF -DTURMERIC_BENCH=OFF --log-level=WARNING >/dev/null
cmake --build "$folder" -j "${TURMERIC_JOBS:-$(nproc)}"
"$folder/turmeric_entry" --version
