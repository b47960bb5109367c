#!/bin/sh
# Installs the Debian packages listed in tools/packages.txt that are missing.
set -eu
dir=$(dirname "$0")
missing=
for p in $(cat "$dir/packages.txt"); do
  dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
# shellcheck disable=SC2086
apt-get install -y -q --no-install-recommends $missing
