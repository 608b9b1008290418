#!/usr/bin/env bash
# Installs, checks the format, builds, lints and runs all tests through ctest, also under
# sanitizers. BUILD chooses the build folder, JOBS the number of parallel compilations.
set -euo pipefail
cd "$(dirname "$0")/.."

BUILD="${BUILD:-build}"
JOBS="${JOBS:-$(nproc)}"
export JOBS

step() { printf '\n== %s\n' "$*"; }

step "Packages"
scripts/install_packages.sh

step "Format"
scripts/format.sh

step "Build"
cmake -S . -B "$BUILD" -G Ninja
ninja -C "$BUILD" -j "$JOBS"

step "Lint"
scripts/lint.sh "$BUILD"

step "Tests"
scripts/run_ctest.sh "$BUILD"

step "Tests under sanitizers"
scripts/sanitizers.sh
