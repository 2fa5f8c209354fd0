#!/usr/bin/env bash
# Guards against two runs of a task when a start that was given up is read by the next process of
# the executor, seconds later, and that process is cut off before it has answered anything.
#
# The executors 0 to 3 are killed, and what is sent to them waits in the proxy. Each starts again,
# and reads it 1 to 4 s after it was given up.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/restarting-executors.sh

start_job_platform 0
prepare_job_executors 5 4
for i in $(seq 0 3); do
  start_job_executor "$i" --millicores 6000 --clock-start 3600000 --clock-speed 0.98
done
start_schedulers 1
wait_heard 4
sleep 1

set_links 0 3 "to=held&from=held"
for i in $(seq 0 3); do kill_job_executor "$i"; done
job='{"spec":"20000","steps":[{"count":3,"cpu":1000,"memMb":10,"estimateMs":900}]}'
for number in $(seq 8); do submit_job "$number" "$job"; done
# A heartbeat that waits for news is given up after 2.9 s, and may prolong the lease until then.
sleep 3.1
note "calls were given up"
set_links 0 3 "park=1"
for i in $(seq 0 3); do
  require "$(http "$control" GET "/parked?link=$i" | tail -n 1)" -ge 1 "calls to executor $i wait"
  start_job_executor "$i" --millicores 6000 --clock-speed 0.98
done
start_job_executor 4
for i in $(seq 0 3); do
  sleep 0.95
  set_links "$i" "$i" "pass=POST"
done
wait_recorded 24 'i-4 start ' 20
wait_until_idle 8
require_no_task_twice
