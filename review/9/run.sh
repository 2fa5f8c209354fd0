#!/usr/bin/env bash
# One executor is lost for good. What ran there waits until another executor has no other work,
# however much room there is. TROUBLE=0: the executor stays.
# Exit: 1 broken, 0 held, 2 could not run.
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=review/9
. review/6/standin/lib.sh

start_platform
start_executors i-1 i-2 i-3 i-4 i-5 i-6 i-7 i-8 i-9
start_schedulers 3

# Long work on each executor, of one core of 32, and a short job beside it on one of them.
submit 1 '{"spec":"ms=100000","steps":[{"count":9,"cpu":1000,"memMb":100,"estimateMs":100000,"antiAffinity":1}]}'
wait_starts 1 9 10 || cannot_run "the long job has not begun"
submit 2 '{"spec":"ms=5000","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":5000}]}'
traffic_end=$(now_ms)
wait_starts 2 1 10 || cannot_run "the short job has not begun"
at=$(runs_of 2 start | tail -n 1 | cut -d' ' -f2)
sleep 1
[ "$trouble" = 0 ] || kill_executor "$at"
killed=$(now_ms)
# finish_s is 14. The lease of what ran there, and its entry, end 6 s after the crash at the latest.
while [ $(($(now_ms) - traffic_end)) -lt 14000 ]; do
  sleep 0.2
done
waited=0
for second in $(seq 30); do
  ask 2
  [ "$state" = completed ] && break
  last=$(runs_of 2 | tail -n 1 | cut -d' ' -f1)
  if [ "$(runs_of 2 start | wc -l)" -eq 1 ] && [ "$trouble" != 0 ]; then
    waited=$(($(now_ms) - killed))
  fi
  sleep 1
done
starts=$(runs_of 2 start | wc -l)
echo "the short job is $state, with $starts starts; it has had nothing running for $waited ms, while 8 of 256 cores are in use" | tee -a "$record"
[ "$state" = completed ] && exit 0
[ "$starts" -eq 1 ] && [ "$waited" -gt 17000 ] && exit 1
cannot_run "the short job is late, and runs"
