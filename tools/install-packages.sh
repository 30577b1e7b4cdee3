#!/bin/sh
# Installs the missing Debian packages of tools/packages.txt.
set -eu
list="$(dirname "$0")/packages.txt"
missing=""
while read -r package; do
  dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null |
    grep -q '^installed$' || missing="$missing $package"
done < "$list"
[ -n "$missing" ] || exit 0
echo "installing:$missing"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing
