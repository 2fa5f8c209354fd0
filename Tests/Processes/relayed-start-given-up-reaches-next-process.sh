#!/usr/bin/env bash
# Guards against two runs of a task when a start that a scheduler makes for another one, and that was
# given up, is read by the next process of the executor, which is cut off before it has answered.
#
# As start-given-up-reaches-next-process.sh, with an owner that hands all of its calls over.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/restarting-executors.sh

handed_over() { # the calls that the schedulers have handed over
  for address in "${metrics[@]}"; do http "$address" GET /metrics; done |
    sed -n 's/^sesameseam_relayed_calls_total{outcome="handed-over"} //p' |
    awk '{ sum += $1 } END { print sum + 0 }'
}

start_job_platform 0
prepare_job_executors 5 4
for i in $(seq 0 3); do
  start_job_executor "$i" --millicores 6000 --clock-start 3600000 --clock-speed 0.98
done
scheduler_cores=0.001
share_calls_delay=0ms
start_schedulers 3
wait_heard 4
sleep 1.5

set_links 0 3 "to=held&from=held"
for i in $(seq 0 3); do kill_job_executor "$i"; done
before=$(handed_over)
job='{"spec":"20000","steps":[{"count":3,"cpu":1000,"memMb":10,"estimateMs":900}]}'
for number in $(seq 8); do submit_job "$number" "$job"; done
# A heartbeat that waits for news is given up after 2.9 s, and may prolong the lease until then.
sleep 3.1
require "$(handed_over)" -ge $((before + 24)) "calls were handed over"
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
