#!/usr/bin/env bash
# Runs the benchmarks; writes their results and plots to bench-out/.
# Usage: tools/bench.sh BUILD_DIR
set -eu
dir=$1
mkdir -p bench-out
export CF_BUILD_DIR=$dir
for b in "$dir"/bench_*; do
    name=$(basename "$b")
    case $name in
    *.d | *.o | bench_forwarder | bench_fuzz) continue ;;
    esac
    echo "== $name"
    "$b" | tee "bench-out/$name.txt"
done
tools/plot.sh
