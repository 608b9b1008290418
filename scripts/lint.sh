#!/usr/bin/env bash
# Runs clang-tidy over the compile database of BUILD (default: build), once for each file.
# Usage: lint.sh [BUILD [PATTERN]]; PATTERN selects files by path.
set -euo pipefail
cd "$(dirname "$0")/.."

BUILD="${1:-build}"
PATTERN="${2:-/(packages|platform|programs|tests|benchmarks)/}"
mapfile -t FILES < <(python3 -c '
import json, re, sys
files = {entry["file"] for entry in json.load(open(sys.argv[1]))}
print("\n".join(sorted(name for name in files if re.search(sys.argv[2], name))))
' "$BUILD/compile_commands.json" "$PATTERN")
printf '%s\0' "${FILES[@]}" |
  xargs -0 -n 1 -P "${JOBS:-$(nproc)}" scripts/lint_file.sh "$BUILD" >"$BUILD/lint.log" 2>"$BUILD/lint.err" || {
  grep -E '(warning|error):' "$BUILD/lint.log" "$BUILD/lint.err" | sort -u
  echo "Lint has failed; see $BUILD/lint.log and $BUILD/lint.err."
  exit 1
}
echo "Lint is clean (${#FILES[@]} files)."
