#!/usr/bin/env bash
# Fails if two modules define the same global symbol: a static archive would
# silently link one of the two into the users of both.
# Usage: tools/check_symbols.sh ARCHIVE
set -u
twice=$(nm "$1" 2>/dev/null | awk '$2 ~ /^[TDBR]$/ { print $3 }' | sort |
    uniq -d | grep -v '^_Z')
[ -z "$twice" ] && exit 0
echo "symbols defined by two modules of $1:"
echo "$twice"
exit 1
