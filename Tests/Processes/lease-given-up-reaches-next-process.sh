#!/usr/bin/env bash
# Guards against two runs of a task when a heartbeat that asked a process for a lease is read by the
# next process of the executor, seconds after that process was cut off: its runs go on.
#
# The heartbeat to each of the executors 0 to 3 waits in the proxy while the next process is heard
# and starts a task. It is passed on 1 to 4 s after the cut.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/restarting-executors.sh

start_job_platform 0
prepare_job_executors 5 4
# The clock of the next process begins anew, so that it takes the end of the lease to be far off.
for i in $(seq 0 3); do
  start_job_executor "$i" --millicores 1000 --clock-start 3600000 --clock-speed 0.98
done
start_schedulers 1
wait_heard 4
sleep 1

# Each executor has room for one task.
set_links 0 3 "reset=1&to=held&from=held"
job='{"spec":"20000","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":900}]}'
for number in $(seq 4); do submit_job "$number" "$job"; done
sleep 0.4
set_links 0 3 "park=1"
for i in $(seq 0 3); do
  require "$(http "$control" GET "/parked?link=$i" | tail -n 1)" -ge 1 "calls to executor $i wait"
  kill_job_executor "$i"
  start_job_executor "$i" --millicores 1000 --clock-speed 0.98
done
set_links 0 3 "to=open&from=open"
wait_recorded 4 'i-[0-3] start ' 15
sleep 0.5
set_links 0 3 "to=held&from=held"
start_job_executor 4
for i in $(seq 0 3); do
  sleep 0.95
  set_links "$i" "$i" "pass=/sesameseam/hold"
done
wait_recorded 4 'i-4 start ' 20
wait_until_idle 8
require_no_task_twice
