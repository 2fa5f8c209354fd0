#!/usr/bin/env bash
# Installs what the build and the tests need. Does nothing where all is there already.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < Meta/packages.txt
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
