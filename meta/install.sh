#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need.
set -euo pipefail
packages=(
    cmake g++ ninja-build ccache pkg-config python3 curl git
    clang-format clang-tidy cppcheck
    libcpp-httplib-dev libnghttp2-dev libprotobuf-dev nlohmann-json3-dev
    libvalijson-dev libcxxopts-dev libfmt-dev libssl-dev libxxhash-dev
    libboost-dev libcpputest-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
