#!/usr/bin/env bash
# Guards against serving an old manifest after a scheduler's connections to the store have fallen
# silent: a change must be in force 3 s later, also if the history was dropped at the same moment.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh

# A host counts as undisturbed this long after its connections have fallen silent.
undisturbed_after=3

apply_version() { # apply_version VERSION
  http "$store" POST "/control?config=$1" >/dev/null
}

wait_version() { # wait_version VERSION
  for _ in $(seq 100); do
    [ "$(status_of "${fronts[0]}" GET "/added-$1/")" = 200 ] && return 0
    sleep 0.05
  done
  echo "version $1 of the manifest is not in force"
  cat "$work"/s0.log
  exit 1
}

# The read in flight has just been sent when the connections fall silent.
check_change_after_silence() { # check_change_after_silence VERSION [PLATFORM_FAULT]
  apply_version "$1"
  wait_version "$1"
  http "$control" POST "/set?link=0&silence=1" >/dev/null
  local silent_at
  silent_at=$(date +%s%N)
  apply_version "$(($1 + 1))"
  [ $# -lt 2 ] || http "$store" POST "/control?$2" >/dev/null
  while [ $((($(date +%s%N) - silent_at) / 1000000)) -lt $((undisturbed_after * 1000)) ]; do
    sleep 0.01
  done
  local status
  status=$(status_of "${fronts[0]}" GET "/added-$(($1 + 1))/")
  [ "$status" != 404 ] || tail -n 20 "$work/s0.log"
  require "$status" -ne 404 "version $(($1 + 1)) is in force ${2:-}"
  require "$status" -ne 0 "the scheduler answers"
  wait_version "$(($1 + 1))"
}

start_job_platform_behind_proxy 2
start_schedulers 1
for version in 2 4 6; do
  check_change_after_silence "$version"
done
for version in 8 10 12; do
  check_change_after_silence "$version" forget=1
done
