#!/usr/bin/env bash
# Installs what the build, the tests and the demo need, from Debian's packages.
set -euo pipefail

PACKAGES=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy python3
  libboost-dev libboost-program-options-dev libnghttp2-dev liblog4cplus-dev libyaml-cpp-dev
  libmsgpack-cxx-dev nlohmann-json3-dev libxxhash-dev libcpputest-dev
)

MISSING=()
for PACKAGE in "${PACKAGES[@]}"; do
  if ! dpkg-query -W -f '${Status}' "$PACKAGE" 2>/dev/null | grep -q 'ok installed'; then
    MISSING+=("$PACKAGE")
  fi
done
if [ "${#MISSING[@]}" -eq 0 ]; then
  exit 0
fi

SUDO=""
if [ "$(id -u)" -ne 0 ]; then
  SUDO=sudo
fi
$SUDO apt-get update
$SUDO env DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${MISSING[@]}"
