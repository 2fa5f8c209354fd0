#!/usr/bin/env bash
# Guards against clients that do not end a header, however long (issue 60).
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/../.."
. Meta/processes.sh
. Meta/entry-crowds.sh

start_bounded_entry_host
for address in "${callers[0]}" "${operators[0]}"; do
  for kind in line head; do
    meet_crowd "$kind-many-$address" --target "$address" --kind "$kind" --path /ready \
      --connections 500 --bytes 15000
    meet_crowd "$kind-endless-$address" --target "$address" --kind "$kind" --path /ready \
      --connections 2 --bytes 134217728
  done
done
