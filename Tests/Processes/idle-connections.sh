#!/usr/bin/env bash
# Guards against a scheduler whose descriptors are all taken by connections that send nothing, so
# that it takes no request and calls neither store nor executors (issue 60).
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/crowds.sh

start_limited_scheduler
for address in "${fronts[0]}" "${readies[0]}" "${metrics[0]}" "${relays[0]}"; do
  start_crowd "idle-$address" --kind idle --connections 600 --target "$address"
  require_in_bounds "idle at $address"
  require_answers "idle at $address, while the crowd is there"
  end_crowd
  require_in_bounds "idle at $address, afterwards"
  require_answers "idle at $address, afterwards"
done
