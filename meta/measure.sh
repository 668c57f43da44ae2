#!/usr/bin/env bash
# Repeats the measurements with real processes and rewrites their tables in
# docs/. Takes about ten minutes; run it on an otherwise idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."
meta/build.sh build
python3 bench/router_cost/measure.py --page docs/bench-router-cost.md
python3 bench/slow_readers/measure.py --page docs/bench-slow-readers.md
python3 bench/control_cost/measure.py --page docs/bench-control-cost.md
