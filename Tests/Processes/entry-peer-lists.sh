#!/usr/bin/env bash
# Guards against clients at the peer address that announce a long list and send none of it (issue 60).
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/../.."
. Meta/processes.sh
. Meta/entry-crowds.sh

start_bounded_entry_host
meet_crowd peer-lists --target "${peers[0]}" --kind list --connections 8 --bytes 1048576
meet_crowd peer-short-lists --target "${peers[0]}" --kind list --connections 500 --bytes 4096
