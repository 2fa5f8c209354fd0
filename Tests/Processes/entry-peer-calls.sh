#!/usr/bin/env bash
# Guards against clients at the peer address that do not end a call (issue 60).
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/../.."
. Meta/processes.sh
. Meta/entry-crowds.sh

start_bounded_entry_host
meet_crowd peer-calls --target "${peers[0]}" --kind peer --connections 500 --bytes "$max_body_bytes"
meet_crowd peer-long --target "${peers[0]}" --kind peer --connections 16 --bytes 16777216
