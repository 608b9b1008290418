#!/usr/bin/env bash
# Builds crocuswood and runs a small fleet on this machine: a platform stand-in, two entries and
# three companions with endpoints. It sets the classes of two deployments, submits jobs while one
# endpoint leaves, prints answers, status and the time line of one job, and stops everything
# gracefully. Exits with 0 only if every answer was whole and every process stopped by itself.
set -euo pipefail
cd "$(dirname "$0")/.."

BUILD="${BUILD:-build}"
JOBS="${JOBS:-$(nproc)}"

scripts/install_packages.sh
cmake -S . -B "$BUILD" -G Ninja >/dev/null
ninja -C "$BUILD" -j "$JOBS" crocuswoodd crocuswood stand_in_platform stand_in_endpoint stand_in_load

exec python3 scripts/demo_fleet.py "$BUILD"
