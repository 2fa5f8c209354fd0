#!/usr/bin/env bash
# Builds the stand-in that the scripts of this review start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
"${CXX:-g++}" -std=c++20 -O2 -Wall -o target/review/standin.new \
  review/standin/standin.cpp review/standin/Http.cpp
mv target/review/standin.new target/review/standin
