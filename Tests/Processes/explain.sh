#!/usr/bin/env bash
# Four jobs go wrong for causes that this test brings about, and `sesameseam explain` names each
# cause from the logs of all schedulers.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh

job() { # job SPEC
  echo '{"spec":"'"$1"'","steps":[{"count":2,"cpu":1000,"memMb":10,"estimateMs":200}]}'
}

# Schedulers write their lines every 100 ms, so that a state may be shown before its line is there.
explained() { # explained NUMBER TEXT: whether the explanation of the job has the text
  for _ in $(seq 50); do
    "$build/Utilities/sesameseam" explain "$(job_id "$1")" "$work"/s*.log >"$work/explained" 2>&1 || true
    grep -q "$2" "$work/explained" && return 0
    sleep 0.1
  done
  echo "job $1 is not explained by \"$2\":"
  cat "$work/explained"
  exit 1
}

start_job_platform 3
start_schedulers 2

http "$store" POST "/control?refused=1" >/dev/null
require "$(status_of "${fronts[0]}" POST "/previews/$(job_id 1)" "$(job 100)")" -eq 503 "the store refuses all calls"
http "$store" POST "/control?refused=0" >/dev/null
wait_scheduler 0

submit_job 2 "$(job 3000)"
sleep 1
for executor in 0 1 2; do
  http "$store" POST "/control?restart=$executor" >/dev/null
done
wait_state 1 2 completed

submit_job 3 "$(job fails)"
wait_state 0 3 failed

http "$store" POST "/control?refused=1" >/dev/null
start_scheduler 2
status=0
for _ in $(seq 50); do
  status=$(status_of "${fronts[2]}" POST "/previews/$(job_id 5)" "$(job 100)")
  [ "$status" -eq 0 ] || break
  sleep 0.1
done
require "$status" -eq 503 "the scheduler has just started and knows no manifest"

explained 1 "refused by s0"
explained 2 "lost runs on executor"
explained 3 "runs failed on"
explained 5 "refused by s2: no manifest is known yet"
explained 4 "no line names the job"
