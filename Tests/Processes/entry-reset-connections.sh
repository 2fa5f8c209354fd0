#!/usr/bin/env bash
# Guards against clients that reset their connections half-way (issue 60).
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/../.."
. Meta/processes.sh
. Meta/entry-crowds.sh

start_bounded_entry_host
meet_crowd reset-ahead --target "${callers[0]}" --kind ahead --path /ready --connections 100 \
  --bytes 200000 --resets 5
for kind in head body; do
  meet_crowd "reset-$kind" --target "${callers[0]}" --kind "$kind" --path /request \
    --connections 300 --bytes 100000 --resets 5
done
meet_crowd reset-operator --target "${operators[0]}" --kind ahead --path /metrics \
  --connections 100 --bytes 200000 --resets 5
meet_crowd reset-peer --target "${peers[0]}" --kind peer --connections 300 --bytes 100000 --resets 5
