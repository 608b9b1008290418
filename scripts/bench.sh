#!/usr/bin/env bash
# Runs every workload trace with every policy in virtual time and prints a table.
# Usage: bench.sh [--json FILE]. BUILD chooses the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."

BUILD="${BUILD:-build}"
cmake -S . -B "$BUILD" -G Ninja >/dev/null
ninja -C "$BUILD" bench_policies >/dev/null
"$BUILD/benchmarks/policies/bench_policies" traces/workloads/*.jsonl "$@"
