#!/usr/bin/env bash
# Builds everything into build/, or into the folder that BUILD_DIRECTORY names.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build}
cmake -G Ninja -S . -B "$build" >"/tmp/sesameseam-cmake-$$.log" || {
  cat "/tmp/sesameseam-cmake-$$.log"
  exit 1
}
rm -f "/tmp/sesameseam-cmake-$$.log"
cmake --build "$build"
