#!/usr/bin/env bash
# Runs the GLib test programs of a build folder and counts passed and failed
# cases. Cases that KNOWN-RED.txt lists ("PROGRAM /case/path ...") are skipped
# and printed; with --known-red only these run.
# Usage: tools/run_tests.sh [--known-red] BUILD_DIR
set -u
only=false
[ "$1" = --known-red ] && { only=true; shift; }
dir=$1
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
touch "$out/red"
[ -f KNOWN-RED.txt ] && grep -E '^test_[a-z0-9_]+ /' KNOWN-RED.txt > "$out/red"
export ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=print_stacktrace=1
# ZeroMQ and libmicrohttpd are not instrumented for the thread sanitizer.
export TSAN_OPTIONS="suppressions=$PWD/tools/tsan.supp halt_on_error=1"
export out dir only
run() {
    local name args=() path
    name=$(basename "$1")
    while read -r path; do
        if $only; then args+=(-p "$path"); else args+=(-s "$path"); fi
    done < <(awk -v n="$name" '$1 == n { print $2 }' "$out/red")
    $only && [ ${#args[@]} -eq 0 ] && return
    # test_long_prompts takes 47 s, and ten times as long with the thread
    # sanitizer.
    CF_BUILD_DIR=$dir timeout 1800 "$1" -k --tap "${args[@]}" \
        > "$out/$name.tap" 2> "$out/$name.err"
    echo $? > "$out/$name.rc"
}
export -f run
ls "$dir"/test_* 2>/dev/null | grep -v '\.[od]$' |
    xargs -P 5 -I{} bash -c 'run {}'
passed=0 failed=0
for rc in "$out"/*.rc; do
    [ -e "$rc" ] || continue
    name=$(basename "$rc" .rc)
    ok=$(grep -E '^ok ' "$out/$name.tap" | grep -cv '# SKIP')
    bad=$(grep -cE '^not ok ' "$out/$name.tap")
    [ "$(cat "$rc")" -ne 0 ] && [ "$bad" -eq 0 ] && bad=1
    passed=$((passed + ok)) failed=$((failed + bad))
    echo "$name: $ok passed, $bad failed"
    if [ "$bad" -gt 0 ]; then
        grep -vE '^ok ' "$out/$name.tap" | tail -60
        tail -60 "$out/$name.err"
    fi
done
if ! $only && [ -s "$out/red" ]; then
    echo "known red, not run:"
    sed 's/^/  /' "$out/red"
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && { $only || [ "$passed" -gt 0 ]; }
