#!/usr/bin/env bash
# Runs the fuzz program with new seeds for DURATION_S seconds (default 60).
# Usage: tools/fuzz.sh BUILD_DIR
set -eu
exec "$1/bench_fuzz" -s "$(date +%s)" -t "${DURATION_S:-60}" -m
