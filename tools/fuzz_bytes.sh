#!/usr/bin/env bash
# Builds the libFuzzer program and fuzzes each decoder for DURATION_S seconds
# (default 10). Usage: tools/fuzz_bytes.sh CPPFLAGS LIBS
set -eu
mkdir -p build/fuzz
clang++-14 -w -g -O1 -fsanitize=fuzzer-no-link,address -std=c++17 \
    $1 -c src/settings/toml.cc -o build/fuzz/toml.o
clang-14 -w -g -O1 -fsanitize=fuzzer,address,undefined,float-cast-overflow \
    -fno-sanitize-recover=undefined,float-cast-overflow -std=gnu11 $1 \
    fuzz/fuzz_bytes.c tests/byte_targets.c src/base/*.c src/model/*.c \
    src/wire/msg.c src/wire/scalar.c src/control/claim_record.c \
    src/control/roster.c src/edge/sse.c platform/records.c \
    platform/headers.c platform/stage_calls.c src/settings/settings.c src/settings/fields.c \
    build/fuzz/toml.o $2 -o build/fuzz/fuzz_bytes
for t in msg claim_record settings fleet vmlist roster edit sse platform_endpoint \
    platform_routing platform_reply platform_headers; do
    mkdir -p "build/fuzz/$t"
    echo "== $t"
    FUZZ_TARGET=$t build/fuzz/fuzz_bytes -max_total_time="${DURATION_S:-10}" \
        -verbosity=0 -print_final_stats=1 -artifact_prefix="build/fuzz/$t-" \
        "build/fuzz/$t" "tests/corpus/$t" 2>&1 |
        grep -E 'number_of_executed_units|ERROR|SUMMARY|Test unit' || true
done
