#!/usr/bin/env bash
# Checks what the scripts start: the program of the deploy file, and the stand-ins, which are
# Python and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/programs/crocuswoodd/crocuswoodd
for FILE in review/stand_ins.py review/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$FILE"
done
