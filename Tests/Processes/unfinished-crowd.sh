#!/usr/bin/env bash
# Guards against a scheduler that answers no other caller while a crowd of connections, each with a
# request just begun, has all the places that clients may take (issue 60).
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/crowds.sh

start_limited_scheduler
for address in "${fronts[0]}" "${readies[0]}" "${metrics[0]}" "${relays[0]}"; do
  start_crowd "line-$address" --kind line --connections 600 --target "$address"
  require_in_bounds "begun at $address"
  require_answers "begun at $address, while the crowd is there"
  end_crowd
  require_in_bounds "begun at $address, afterwards"
  require_answers "begun at $address, afterwards"
done
