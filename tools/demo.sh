#!/usr/bin/env bash
# Runs the fleet of examples/board.toml on loopback: key-value service, engines
# and services in four zones, five nodes. Applies the configuration, sends
# requests, takes a zone out of service and back in, and stops all processes
# gracefully. Takes under a minute.
# Usage: tools/demo.sh BUILD_DIR
# Exit codes: 0 all steps done, 1 a step failed (its logs are kept).
set -u
cd "$(dirname "$0")/.."
B=$1
W=$(mktemp -d)
NODES=5
declare -a node_pids=() fake_pids=() node_ports=() node_urls=()
declare -A port_of=() zone_of=()
for p in camphorfalld camphorfall fake_kv fake_engine fake_service; do
    [ -x "$B/$p" ] || { echo "demo: $B/$p is not built" >&2; exit 1; }
done

end_all() {
    local pid
    for pid in "${node_pids[@]}" "${fake_pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null
    done
}
trap end_all EXIT
fail() {
    echo "demo: $*; logs are in $W" >&2
    exit 1
}
say() { printf '%5.1f s  %s\n' "$(seconds)" "$*"; }
seconds() { echo "$EPOCHREALTIME $began" | awk '{ print $1 - $2 }'; }
began=$EPOCHREALTIME

# Repeats a command every 0.1 s until it succeeds, for at most 20 s.
until_ok() {
    local i
    for i in $(seq 200); do
        "$@" > "$W/until" 2>&1 && return 0
        sleep 0.1
    done
    return 1
}
# http PORT METHOD PATH [BODY_FILE]: prints the response body; fails unless the
# status is 200.
http() {
    local len=0 line status
    [ $# -gt 3 ] && len=$(wc -c < "$4")
    exec 9<>"/dev/tcp/127.0.0.1/$1" || return 1
    printf '%s %s HTTP/1.0\r\nHost: demo\r\nContent-Length: %d\r\n\r\n' \
        "$2" "$3" "$len" >&9
    [ $# -gt 3 ] && cat "$4" >&9
    read -r -t 5 _ status _ <&9 || status=0
    while read -r -t 5 line <&9; do
        [ "$line" = $'\r' ] && break
    done
    cat <&9
    exec 9>&-
    [ "${status:-0}" = 200 ]
} 2>/dev/null
# number NAME: prints the number of this name in the JSON on standard input.
number() { sed -n "s/.*\"$1\": *\([0-9-]*\).*/\1/p"; }
listening() { grep -q '^listening ' "$1"; }
# start_fake ID PROGRAM [OPTION]...; fake_port ID then sets port_of[ID].
start_fake() {
    local id=$1 program=$2
    shift 2
    "$B/$program" --port 0 "$@" > "$W/$id.out" 2> "$W/$id.err" &
    fake_pids+=($!)
}
fake_port() {
    until_ok listening "$W/$1.out" || fail "$1 does not listen"
    port_of[$1]=$(awk '{ print $2 }' "$W/$1.out")
}
free_ports() {
    local base i
    for _ in $(seq 50); do
        base=$((20000 + RANDOM % 10000))
        for i in $(seq 0 $((2 * NODES - 1))); do
            (exec 8<>"/dev/tcp/127.0.0.1/$((base + i))") 2>/dev/null &&
                continue 2
        done
        echo "$base"
        return
    done
}

# 1. The platform.
start_fake kv fake_kv
while read -r zone id pool; do
    zone_of[$id]=$zone
    case $pool in
    encoders) start_fake "$id" fake_engine --kind encode ;;
    retrievers) start_fake "$id" fake_engine --kind retrieve ;;
    rerankers) start_fake "$id" fake_engine --kind rerank ;;
    generators) start_fake "$id" fake_engine --kind generate ;;
    *) start_fake "$id" fake_service ;;
    esac
done < <(sed -n 's/.*"zone":"\([a-z]*\)".*/zone \1/p
    s/.*"id":"\([^"]*\)","pool":"\([^"]*\)".*/\1 \2/p' \
    examples/board-vms.json |
    awk '$1 == "zone" { z = $2; next } { print z, $1, $2 }')
for id in kv "${!zone_of[@]}"; do fake_port "$id"; done
cp examples/board-vms.json "$W/vms.json"
for id in "${!zone_of[@]}"; do
    sed -i "s|\(\"id\":\"$id\",.*127.0.0.1:\)[0-9]*|\1${port_of[$id]}|" \
        "$W/vms.json"
done
printf '{"key":"%s","value":"%s"}' "$(printf platform/vms | base64 -w0)" \
    "$(base64 -w0 < "$W/vms.json")" > "$W/put.json"
http "${port_of[kv]}" POST /v3/kv/put "$W/put.json" > /dev/null ||
    fail "the VM list was not stored"
say "platform: ${#zone_of[@]} endpoints in 4 zones, key-value service"

# 2. The nodes.
base=$(free_ports)
[ -n "$base" ] || fail "no free ports"
zones=(veraval mandvi porbandar okha veraval)
for n in $(seq "$NODES"); do
    node_ports+=($((base + n - 1)))
    node_urls+=(--node "http://127.0.0.1:$((base + n - 1))")
    {
        echo "[node]"
        echo "name = \"entry-$n\""
        echo "zone = \"${zones[$((n - 1))]}\""
        echo 'region = "saurashtra"'
        echo "[http]"
        echo 'address = "127.0.0.1"'
        echo "port = $((base + n - 1))"
        echo "plain = true"
        echo "[link]"
        echo "address = \"tcp://127.0.0.1:$((base + NODES + n - 1))\""
        for p in $(seq "$NODES"); do
            [ "$p" = "$n" ] && continue
            echo "[[link.peer]]"
            echo "name = \"entry-$p\""
            echo "address = \"tcp://127.0.0.1:$((base + NODES + p - 1))\""
        done
        echo "[store]"
        echo "urls = [\"http://127.0.0.1:${port_of[kv]}\"]"
        echo "[drain]"
        echo "balancer_wait_ms = 500"
    } > "$W/entry-$n.toml"
    "$B/camphorfalld" "$W/entry-$n.toml" > "$W/entry-$n.log" 2>&1 &
    node_pids+=($!)
done
for p in "${node_ports[@]}"; do
    until_ok http "$p" GET /healthz || fail "the node on port $p does not run"
done
for who in asha carvers clerks stores; do echo "demo-$who" > "$W/$who"; done
cf() {
    local who=$1
    shift
    "$B/camphorfall" "${node_urls[@]}" --token-file "$W/$who" "$@"
}
until_ok cf asha apply examples/board.toml --change demo-apply ||
    fail "the configuration was not accepted: $(cat "$W/until")"
for p in "${node_ports[@]}"; do
    until_ok http "$p" GET /readyz || fail "the node on port $p is not ready"
done
say "nodes: $NODES ready, configuration in force"

# 3. Requests.
ask() { echo "{\"input\":\"Which timber may be used for oars? $1\"}"; }
good=0
for i in 1 2 3 4 5; do
    for team in carvers stores; do
        ask "$team $i" | cf "$team" run ask > "$W/answer" 2>&1 ||
            fail "request $i of $team: $(cat "$W/answer")"
        good=$((good + 1))
    done
done
say "four-stage pipeline: $good whole answers for two teams"
ask stream | cf carvers run ask --stream > "$W/stream" 2>&1 ||
    fail "stream: $(cat "$W/stream")"
say "stream: $(wc -w < "$W/stream") tokens, ended with done"

# 4. An action, sent twice with one key.
permit='{"action_id":"permit-1","input":"ten logs of teak for carver 7"}'
for i in 1 2; do
    echo "$permit" | cf clerks run permit --key permit-1 \
        > "$W/permit-$i" 2>&1 || fail "permit: $(cat "$W/permit-$i")"
done
records=0
for id in "${!zone_of[@]}"; do
    case $id in ledger-*)
        n=$(http "${port_of[$id]}" GET /control/stats | number records)
        records=$((records + n)) ;;
    esac
done
[ "$records" = 1 ] || fail "the permit was recorded $records times"
say "permit: sent twice with one key, recorded once"

# 5. A zone is taken out of service and back in.
in_zone() {
    local id sum=0 n
    for id in "${!zone_of[@]}"; do
        [ "${zone_of[$id]}" = "$1" ] || continue
        n=$(http "${port_of[$id]}" GET /control/stats | number requests)
        sum=$((sum + n))
    done
    echo "$sum"
}
cf asha zone out okha --reason "demo of a flood" > "$W/zone" 2>&1 ||
    fail "zone out: $(cat "$W/zone")"
before=$(in_zone okha)
for i in $(seq 10); do
    ask "out $i" | cf carvers run ask > "$W/answer" 2>&1 ||
        fail "request without okha: $(cat "$W/answer")"
done
after=$(in_zone okha)
[ "$before" = "$after" ] || fail "okha got $((after - before)) new calls"
cf asha zone in okha --reason "demo is over" > "$W/zone" 2>&1 ||
    fail "zone in: $(cat "$W/zone")"
say "zone okha: out (10 answers without it, 0 new calls there) and in again"

# 6. Graceful shutdown.
for pid in "${node_pids[@]}"; do kill -TERM "$pid"; done
for pid in "${node_pids[@]}"; do
    wait "$pid" || fail "node process $pid ended with $?"
done
node_pids=()
calls=$(http "${port_of[kv]}" GET /control/stats |
    sed -n 's/.*"reads":\([0-9]*\),"writes":\([0-9]*\).*/\1 reads, \2 writes/p')
for pid in "${fake_pids[@]}"; do kill -TERM "$pid"; done
for pid in "${fake_pids[@]}"; do wait "$pid" || fail "a fake ended with $?"; done
fake_pids=()
say "all nodes ended with exit code 0; key-value service: $calls"
rm -rf "$W"
