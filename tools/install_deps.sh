#!/usr/bin/env bash
# Installs the Debian packages that the build needs and that are missing.
set -eu
cd "$(dirname "$0")/.."
missing=$(while read -r p; do
    dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'ok installed' ||
        echo "$p"
done < tools/packages.txt)
[ -z "$missing" ] && exit 0
echo "installing:" $missing
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends $missing > /dev/null
