#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test through CTest.
#   scripts/test.sh [default|sanitize]
# Tests named in KNOWN-RED.txt are run and printed apart; they alone don't
# change the exit code.
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-default}"

scripts/packages.sh
scripts/build.sh "$preset"

known_red=""
if [ -s KNOWN-RED.txt ]; then
  # No line but comments is no failure.
  known_red=$({ grep -v '^#' KNOWN-RED.txt || true; } | cut -d, -f1 | paste -sd'|' -)
fi
if [ -n "$known_red" ]; then
  printf '\nknown red (see KNOWN-RED.txt), run for the record:\n'
  cat KNOWN-RED.txt
  ctest --preset "$preset" -R "^($known_red)\$" || true
  ctest --preset "$preset" -E "^($known_red)\$"
else
  ctest --preset "$preset"
fi
