#!/usr/bin/env bash
# Guards against more idle clients than the process has descriptors (issue 60).
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/../.."
. Meta/processes.sh
. Meta/entry-crowds.sh

start_bounded_entry_host
for address in "${callers[0]}" "${operators[0]}" "${peers[0]}"; do
  meet_crowd "idle-$address-below" --target "$address" --kind idle --connections 600
  meet_crowd "idle-$address-beyond" --target "$address" --kind idle --connections 1200
done
