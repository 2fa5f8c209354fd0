#!/usr/bin/env bash
# Guards against clients that send many requests ahead and read no answer (issue 60).
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/../.."
. Meta/processes.sh
. Meta/entry-crowds.sh

start_bounded_entry_host
for path in /nowhere /ready /request /job; do
  meet_crowd "ahead-caller${path//\//-}" --target "${callers[0]}" --kind ahead --path "$path" \
    --connections 8 --bytes 33554432
done
for path in /nowhere /metrics /status; do
  meet_crowd "ahead-operator${path//\//-}" --target "${operators[0]}" --kind ahead --path "$path" \
    --connections 8 --bytes 33554432
done
# More clients than the server has threads.
meet_crowd ahead-many-callers --target "${callers[0]}" --kind ahead --path /ready \
  --connections 150 --bytes 16777216
meet_crowd ahead-many-operators --target "${operators[0]}" --kind ahead --path /metrics \
  --connections 150 --bytes 16777216
