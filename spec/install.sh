#!/usr/bin/env bash
# Installs the tools that check the specifications, Spin and a C compiler, if missing.
set -euo pipefail

missing=()
command -v spin >/dev/null || missing+=(spin)
command -v gcc >/dev/null || missing+=(gcc libc6-dev)
[ ${#missing[@]} -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo -n)
if command -v apt-get >/dev/null; then
  "${as_root[@]}" apt-get update -q && "${as_root[@]}" apt-get install -y -q "${missing[@]}" && exit 0
fi
echo "The tests need these packages, which could not be installed: ${missing[*]}." >&2
exit 1
