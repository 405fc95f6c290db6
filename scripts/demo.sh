#!/usr/bin/env bash
# Shows the main job on a fresh machine: builds, then serves the declared
# workloads of both first users through three instances each, and prints
# attainment for each class, goodput and wasted work.
#   scripts/demo.sh [--seconds N] [--rate_factor X] [granite_relay|ferreira_netos]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh default
python3 -B scripts/demo.py "$@"
