#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need.
# Does nothing (and asks no registry) when all are there already.
set -euo pipefail

PACKAGES=(
  g++ cmake ninja-build ccache clang clang-format clang-tidy git python3 curl
  libclang-rt-14-dev
  libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev
  libthrift-dev prometheus-cpp-dev libgflags-dev libfmt-dev doctest-dev
  libyaml-cpp-dev libxxhash-dev libssl-dev zlib1g-dev libbenchmark-dev librapidcheck-dev
)

missing=()
for package in "${PACKAGES[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
