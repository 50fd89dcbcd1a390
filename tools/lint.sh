#!/usr/bin/env bash
# Runs clang-tidy in parallel. Skips a file if neither its content nor any
# header has changed since its last run without findings.
# Usage: tools/lint.sh CPPFLAGS FILE...
set -u
flags=$1
shift
mkdir -p build/lint
export flags
headers=$(cat .clang-tidy src/*/*.h fakes/*.h tests/*.h bench/*.h 2>/dev/null |
    sha256sum)
export headers
check() {
    local mark
    mark=build/lint/$( (echo "$headers $flags" && cat "$1") | sha256sum |
        cut -c1-24)
    [ -e "$mark" ] && return 0
    # shellcheck disable=SC2086
    if clang-tidy --quiet "$1" -- -std=gnu11 $flags 2>build/lint/err.$$ \
        >build/lint/out.$$; then
        touch "$mark"
        rm -f build/lint/err.$$ build/lint/out.$$
        return 0
    fi
    cat build/lint/out.$$
    grep -E 'error:' build/lint/err.$$
    rm -f build/lint/err.$$ build/lint/out.$$
    echo "lint: $1"
    return 1
}
export -f check
printf '%s\n' "$@" | xargs -P "$(nproc)" -I{} bash -c 'check {}'
