#!/usr/bin/env bash
# Guards against clients that do not end a body of the largest size (issue 60).
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/../.."
. Meta/processes.sh
. Meta/entry-crowds.sh

start_bounded_entry_host
for address in "${callers[0]}/request" "${callers[0]}/nowhere" "${operators[0]}/change"; do
  meet_crowd "body-${address//\//-}" --target "${address%%/*}" --kind body \
    --path "/${address#*/}" --connections 500 --bytes "$max_body_bytes"
done
