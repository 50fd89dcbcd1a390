#!/usr/bin/env bash
# Prints the log lines of one request sorted by time, and then the last 5
# lines about each endpoint that they name.
# Usage: tools/explain.sh REQUEST-ID LOG...
# Exit codes: 0 found, 1 no line names the request, 2 usage error.
set -u
[ $# -ge 2 ] || { echo "usage: $0 REQUEST-ID LOG..." >&2; exit 2; }
id=$1
shift
own=$(grep -h "request=$id\b" "$@" | sort)
[ -n "$own" ] || { echo "no line names request $id" >&2; exit 1; }
echo "$own"
for e in $(grep -o 'endpoint=[^ ]*' <<< "$own" | sort -u); do
    echo "-- $e"
    grep -hE "event=(endpoint|endpoint_removed|endpoint_not_back|pieces_failed|pieces_slow) .*$e( |\$)" "$@" |
        sort | tail -5
done
exit 0
