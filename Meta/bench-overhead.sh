#!/usr/bin/env bash
# One request by an entry host against the same one straight to the executor, in turn, in one run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build}
. Meta/processes.sh
. Meta/process-faults.sh
start_deployment 3 1
"$build/Utilities/sesameseam-overhead" --entry "${callers[0]}" --executor "${executors[0]}" \
  --pool previews "$@"
