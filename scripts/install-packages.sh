#!/usr/bin/env bash
# Installs the Debian packages that building, testing and running banyankeel need.
# Does nothing when all of them are there already.
set -euo pipefail

packages=(
    g++ cmake make ninja-build ccache pkg-config python3
    clang-format clang-tidy
    libasio-dev librestinio-dev libhttp-parser-dev libfmt-dev
    libcurl4-openssl-dev libssl-dev libmsgpack-cxx-dev libyaml-cpp-dev
    libcli11-dev libeasyloggingpp-dev libxxhash-dev nlohmann-json3-dev
    libboost-test-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done

if [ "${#missing[@]}" -eq 0 ]; then
    echo "packages: all ${#packages[@]} are installed"
    exit 0
fi

echo "packages: installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
