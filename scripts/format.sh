#!/usr/bin/env bash
# Checks the format of every source file; with --fix, formats them.
set -euo pipefail
cd "$(dirname "$0")/.."

MODE=(--dry-run --Werror)
if [ "${1:-}" = "--fix" ]; then
  MODE=(-i)
fi
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | xargs -r clang-format "${MODE[@]}"
