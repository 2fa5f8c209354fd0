#!/usr/bin/env bash
# A short run of the soak: the seeds that failed once, and three more, the second with series of
# faults, the third with schedulers that also make calls for one another.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
seconds=8
for seed in $(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' Tests/Soak/seeds.txt) 2026 3026 5026; do
  Tests/Soak/soak.sh "$build" "$seed" "$seconds"
done
