#!/usr/bin/env bash
# Guards against two runs of a task when another executor answers at the address of one that runs on:
# its owner must not take that for the end of its process (issue 63).
#
# Four of twelve executors are reached through a proxy. For 5 s their addresses lead to another one.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/restarting-executors.sh

start_restarting_executors
submit_jobs_all_along "$long_job" 0.9
sleep 4
for round in 1 2; do
  for i in $(seq 0 3); do
    set_links "$i" "$i" "reset=1&target=${executor_listens[4]}"
  done
  sleep 5
  for i in $(seq 0 3); do
    set_links "$i" "$i" "reset=1&target=${executor_listens[$i]}"
  done
  sleep 3
done
require "$(grep -c ' start ' "$record")" -ge 50 "tasks were started"
require_no_task_twice
