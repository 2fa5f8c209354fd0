#!/usr/bin/env bash
# Guards against two runs of a task when one process of an executor has answered the stop of a run,
# and the start of that run, given up before, is read by the next process.
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
  start_job_executor "$i" --millicores 1000 --clock-start 3600000 --clock-speed 0.98
done
start_schedulers 1
wait_heard 4
sleep 1

# Each executor has room for one task. The starts wait in the proxy, and are given up.
set_links 0 3 "reset=1&to=held&from=held"
job='{"spec":"20000","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":900}]}'
for number in $(seq 4); do submit_job "$number" "$job"; done
sleep 1.2
set_links 0 3 "park=1"
for i in $(seq 0 3); do
  require "$(http "$control" GET "/parked?link=$i" | tail -n 1)" -ge 1 "calls to executor $i wait"
done
# The processes that they were meant for are heard again, and what was not answered is stopped.
set_links 0 3 "to=open&from=open"
start_job_executor 4
wait_recorded 4 ' start ' 15
for i in $(seq 0 3); do
  kill_job_executor "$i"
  set_links "$i" "$i" "to=held&from=held"
  start_job_executor "$i" --millicores 1000 --clock-speed 0.98
done
wait_recorded 4 'i-4 start ' 20
set_links 0 3 "pass=POST"
wait_until_idle 8
require_no_task_twice
