#!/usr/bin/env bash
# Guards against two runs of a task when a start of an owner that was killed is read by the next
# process of the executor, seconds later, and the next owner waits only for leases of the former one.
#
# Something in between keeps the owner's connections while the executors 0 to 3 are killed and start
# again. Each reads the starts 3 to 5.4 s after the owner has gone, and is cut off.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/restarting-executors.sh

last_owner() { # the index of the scheduler that has taken a shard over last
  for i in "${!schedulers[@]}"; do
    sed -n -E "s/.*\"time_ms\":([0-9]+).*\"event\":\"shard-owned\".*/\1 $i/p" "$work/s$i.log"
  done | sort -n | tail -n 1 | cut -d' ' -f2
}

start_job_platform 0
prepare_job_executors 5 4
for i in $(seq 0 3); do
  start_job_executor "$i" --millicores 6000 --clock-start 3600000 --clock-speed 0.98
done
start_schedulers 3
wait_heard 4
sleep 1.5
set_links 0 3 "keep=1"
# Starts go out on connections on which the process has named itself.
job='{"spec":"100","steps":[{"count":12,"cpu":1000,"memMb":10,"estimateMs":100}]}'
for number in 101 102 103; do submit_job "$number" "$job"; done
wait_recorded 36 'i-[0-3] end-done' 5

set_links 0 3 "to=held&from=held"
job='{"spec":"20000","steps":[{"count":3,"cpu":1000,"memMb":10,"estimateMs":900}]}'
for number in $(seq 8); do submit_job "$number" "$job"; done
sleep 0.3
for i in $(seq 0 3); do kill_job_executor "$i"; done
set_links 0 3 "park=1"
owner=$(last_owner)
kill -KILL "${schedulers[$owner]}"
note "s$owner killed"
for i in $(seq 0 3); do
  held=$(http "$control" GET "/held?link=$i" | grep -a -c '^POST /sesameseam/run-start' || true)
  require "$held" -ge 1 "starts at executor $i wait"
  start_job_executor "$i" --millicores 6000 --clock-speed 0.98
done
start_job_executor 4
sleep 2.8
for i in $(seq 0 3); do
  set_links "$i" "$i" "pass=/sesameseam/run-start"
  sleep 0.75
done
wait_recorded 24 'i-[0-3] start .* 1$' 1
wait_recorded 24 'i-4 start ' 20
wait_until_idle 8
require_no_task_twice
