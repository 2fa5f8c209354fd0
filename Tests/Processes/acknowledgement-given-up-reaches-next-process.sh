#!/usr/bin/env bash
# Guards against a second run of a task that is done: a heartbeat that acknowledged an end of one
# process is read by the next process of the executor, which forgets the end with the same number
# before its owner has heard of it.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/restarting-executors.sh

start_job_platform 0
prepare_job_executors 1 1
start_job_executor 0 --millicores 1000
start_schedulers 1
wait_heard 1
sleep 1

# The answer with the end is passed on and its connection closed, so that the acknowledgement comes
# on a new one and waits. Now and then the owner has sent a heartbeat on the former one meanwhile, and
# acknowledges the end later: then once more, with the next end.
for number in $(seq 6); do
  set_links 0 0 "close-after=done"
  submit_job "$number" '{"spec":"300","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":300}]}'
  wait_recorded "$number" 'end-done' 10
  sleep 0.3
  set_links 0 0 "from=held&park=1"
  http "$control" GET "/held?link=0" | grep -q '"lastSeen":[1-9]' && break
  set_links 0 0 "to=open&from=open"
  wait_recorded "$number" 'noted-done' 10
done
require "$(http "$control" GET "/parked?link=0" | tail -n 1)" -ge 1 "a call waits"
kill_job_executor 0
start_job_executor 0 --millicores 1000
set_links 0 0 "to=open&from=open"

# A task of the next process is done while its owner can't hear that.
submit_job 7 '{"spec":"1500","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":1500}]}'
wait_recorded $((number + 1)) ' start ' 15
sleep 0.3
set_links 0 0 "to=held&from=held"
wait_recorded $((number + 1)) 'end-done' 5
set_links 0 0 "pass=lastSeen"
sleep 0.2
set_links 0 0 "reset=1&to=open&from=open"
wait_state 0 7 completed
require_no_task_twice
