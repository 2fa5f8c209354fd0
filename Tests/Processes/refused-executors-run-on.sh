#!/usr/bin/env bash
# Guards against two runs of a task when connections to an executor that runs on are refused: its
# owner must not take that for the end of its process (issue 63).
#
# Four of twelve executors are reached through a proxy. Their open connections fall silent and new
# ones are refused for 6 s, three times.
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
for round in 1 2 3; do
  refuse_links 0 3
  sleep 6
  set_links 0 3 "refuse=0"
  sleep 3
done
require "$(grep -c 'i-[0-3] lapse' "$record")" -ge 1 "runs were cut off"
require_no_task_twice
