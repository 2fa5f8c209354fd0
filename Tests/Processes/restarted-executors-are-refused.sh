#!/usr/bin/env bash
# Guards against two runs of a task, and a start after its end as done, when executors start again
# under their ids and are then out of reach while they run on, because connections to them are
# refused (issue 66).
#
# Four of twelve executors are reached through a proxy. They are killed, and calls of that time reach
# the next processes 0.6 s later; 2 s later their open connections fall silent and new ones are
# refused, for 3.4 or 6 s. Tasks of 2.2 s end during that time, and are listed as done while their
# lease is valid if it was short; those of 11 s go on.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/restarting-executors.sh

start_restarting_executors
submit_jobs_all_along "$long_job" 1.8
submit_jobs_all_along "$short_job" 0.4 500
sleep 3
for seconds in 3.4 6 3.4; do
  set_links 0 3 "to=held&from=held"
  for i in $(seq 0 3); do kill_job_executor "$i"; done
  sleep 0.6
  for i in $(seq 0 3); do start_job_executor "$i" --clock-speed 0.98; done
  set_links 0 3 "to=open&from=open"
  sleep 2
  refuse_links 0 3
  sleep "$seconds"
  set_links 0 3 "refuse=0"
  sleep 3
done
require "$(grep -c 'i-[0-3] lapse' "$record")" -ge 1 "runs were cut off"
require_no_task_twice
