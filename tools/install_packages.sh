#!/bin/sh
# Installs the Debian packages that a list names, one a line, as far as they
# are missing. Needs root only if something is missing.
set -eu
list=$1
missing=
for name in $(cat "$list"); do
  if ! dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'ok installed'; then
    missing="$missing $name"
  fi
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
apt-get update
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends $missing
