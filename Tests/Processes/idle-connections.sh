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

# The page and the log say that the limit was met.
closed='sesameseam_connections_closed_total{address="front",reason="room"} [1-9]'
require "$(http "${metrics[0]}" GET /metrics | grep -c "$closed")" -eq 1 "the page counts the connections that were closed"
for _ in $(seq 150); do
  logged=$(grep -c '"event":"connections-limited"' "$work/s0.log" || true)
  [ "$logged" -gt 0 ] && break
  sleep 0.1
done
require "$logged" -ge 1 "the log says that a limit was met"
