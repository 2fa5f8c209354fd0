#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2. To be
# run after the build of deploy/system.toml, whose packages suffice.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
sources=review/6/standin
mkdir -p "$out"
compile() { # compile NAME SOURCE...
  local name=$1
  shift
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o "$out/$name" "$@" -levent
}
compile platform "$sources/Platform.cpp" "$sources/Http.cpp"
compile executor "$sources/Executor.cpp" "$sources/Http.cpp"
compile proxy "$sources/Proxy.cpp"
compile ports "$sources/Ports.cpp"
