#!/usr/bin/env bash
# Builds, starts a small fleet on the loopback address, and sends one request:
# meta/quickstart.sh [--team hlaupabraut|cedarbin] [--once].
set -euo pipefail
cd "$(dirname "$0")/.."
meta/install.sh
meta/build.sh build "" turmeric_router turmeric_controller turmericctl \
    standin_key_value standin_engine standin_service standin_vm_list
exec python3 meta/quickstart.py "$@"
