#!/usr/bin/env bash
# Configures and builds one preset of CMakePresets.json.
#   scripts/build.sh [default|sanitize]
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-default}"
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
