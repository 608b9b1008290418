#!/usr/bin/env bash
# Runs clang-tidy on one file of the compile database in BUILD. A file is not checked again if the
# same linter has found the same input clean: settings, compile command and preprocessed text.
# Usage: lint_file.sh BUILD FILE
set -euo pipefail

BUILD="$1"
FILE="$2"
CACHE="${CROCUSWOOD_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/crocuswood-lint}"
ROOT="$(cd "$(dirname "$0")/.." && pwd)"

# The command that compiles FILE, without its output and dependency files.
COMMAND="$(python3 - "$BUILD/compile_commands.json" "$FILE" <<'PYTHON'
import json
import shlex
import sys

WITH_VALUE = {"-o", "-MF", "-MT"}
for entry in json.load(open(sys.argv[1])):
    if entry["file"] != sys.argv[2]:
        continue
    words = shlex.split(entry["command"])
    kept = []
    skip = False
    for word in words:
        if skip:
            skip = False
        elif word in WITH_VALUE:
            skip = True
        elif word not in ("-c", "-MD") and not word.endswith("/ccache"):
            kept.append(word)
    print(" ".join(shlex.quote(word) for word in kept))
    break
PYTHON
)"
# Comments stay in: some checks read them. Paths of this checkout are left out, so that another
# checkout of the same text has the same key.
KEY="$({
  clang-tidy --version
  cat "$ROOT/.clang-tidy"
  echo "$COMMAND"
  bash -c "$COMMAND -E -C"
} | sed "s|$ROOT||g" | sha256sum | cut -d ' ' -f 1)"
if [ -e "$CACHE/$KEY" ]; then
  exit 0
fi
clang-tidy -quiet -p "$BUILD" "$FILE"
mkdir -p "$CACHE"
touch "$CACHE/$KEY"
