#!/usr/bin/env bash
# Fails if a source file outside of platform/, deploy/ and tests/platform/
# contains a header name, path, key or field name of the platform's protocol.
# The names are read from the adapter itself.
set -eu
cd "$(dirname "$0")/.."
names=$(mktemp)
trap 'rm -f "$names"' EXIT
# Headers, paths and keys of names.h, and the fields: names in camelCase.
{
    grep -ohE '"(Camphorfall-|Kv-)[A-Za-z-]+"' platform/names.h
    grep -E '^#define [PK]_' platform/names.h | grep -ohE '"[^"]+"'
    grep -ohE '"[a-z]+[A-Z][A-Za-z]*"' platform/*.c platform/*.h
} | sort -u | tr -d '"' > "$names"
# The product's own key in the store is named after the product.
sed -i '/^camphorfall\/nodes\/$/d' "$names"
[ "$(wc -l < "$names")" -ge 40 ] || { echo "too few names found" >&2; exit 1; }
found=$(grep -rnF -f "$names" --include='*.c' --include='*.h' \
    src bench fakes tests | grep -v '^tests/platform/' |
    grep -E '"[^"]*' || true)
# Only a whole string, or a header, path or quoted key in a string, is a use.
bad=$(while read -r name; do
    grep -F -e "\"$name\"" -e "\"$name:" -e "\"$name?" -e "\\\"$name\\\"" \
        <<< "$found" || true
done < "$names" | sort -u)
[ -z "$bad" ] && exit 0
echo "names of the platform's protocol outside of platform/:"
echo "$bad"
exit 1
