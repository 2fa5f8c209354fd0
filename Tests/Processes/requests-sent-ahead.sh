#!/usr/bin/env bash
# Guards against a scheduler that reads whatever clients send ahead while their answers wait to be
# read, until it has no memory left (issue 60).
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/crowds.sh

start_limited_scheduler
play() { # play NAME ADDRESS PATH
  start_crowd "$1" --kind ahead --connections 4 --megabytes 32 --target "$2" --path "$3"
  require_in_bounds "$1"
  require_answers "$1, while the crowd is there"
  end_crowd
  require_in_bounds "$1, afterwards"
  require_answers "$1, afterwards"
}
play front "${fronts[0]}" /nowhere
play ready "${readies[0]}" /sesameseam/ready
play metrics "${metrics[0]}" /metrics
play relay "${relays[0]}" /nowhere
