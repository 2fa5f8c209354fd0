#!/usr/bin/env bash
# Guards against a scheduler that holds what any number of unfinished requests have sent, until it
# has no memory left (issue 60).
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/crowds.sh

start_limited_scheduler
for kind in body chunk headers; do
  start_crowd "$kind" --kind "$kind" --connections 300 --target "${fronts[0]}" \
    --path "/previews/$(job_id 170)"
  require_in_bounds "$kind"
  require_answers "$kind, while the crowd is there"
  end_crowd
  require_in_bounds "$kind, afterwards"
  require_answers "$kind, afterwards"
done
