#!/usr/bin/env bash
# Runs clang-tidy over the compile database of BUILD (default: build), once for each file.
# Usage: lint.sh [BUILD [PATTERN]]; PATTERN selects files by path.
set -euo pipefail
cd "$(dirname "$0")/.."

BUILD="${1:-build}"
PATTERN="${2:-/(packages|platform|programs|tests|benchmarks)/}"
run-clang-tidy -quiet -p "$BUILD" -j "${JOBS:-$(nproc)}" "$PATTERN" >"$BUILD/lint.log" 2>"$BUILD/lint.err" || {
  grep -E '(warning|error):' "$BUILD/lint.log" | sort -u
  exit 1
}
echo "Lint is clean."
