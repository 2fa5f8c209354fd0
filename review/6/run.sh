#!/usr/bin/env bash
# An idle executor crashes and starts again under its id. A task is started there, and the executor
# is cut off and runs on. Its lease lasts longer than the system takes it to, and the task is started
# elsewhere while it still runs there. TROUBLE=0: no crash and no cut.
# Exit: 1 broken, 0 held, 2 could not run.
set -euo pipefail
cd "$(dirname "$0")/../.."
# What was sent, answered and run.
record=$PWD/review/6/record.txt
. review/6/standin/lib.sh

start_platform
mapfile -t ports < <("$bin/ports" 2)
listed=127.0.0.1:${ports[0]}
behind=127.0.0.1:${ports[1]}
# The executor of rack r9, whose steady clock is 2% slow, is reached through a proxy.
start proxy "$bin/proxy" "$listed" "$behind"
proxy=$process
start_far_executor() {
  start i-1 "$bin/executor" "$behind" "$store" i-1 studio a r9 32000 "$record" \
    "$listed" 0.98
  process_of[i-1]=$process
}
start_far_executor
start_executors i-2 i-3 i-4 i-5 i-6 i-7 i-8 i-9
start_schedulers 3

submit 1 '{"spec":"ms=500","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":500,"affinity":"r9"}]}'
for _ in $(seq 100); do
  grep -q " i-1 noted-done" "$record" && break
  sleep 0.02
done
if [ "$trouble" != 0 ]; then
  kill_executor i-1
  sleep 1
  start_far_executor
  until [ "$(grep -c " i-1 begins" "$record")" -eq 2 ]; do
    sleep 0.01
  done
fi
submit 2 '{"spec":"ms=9000","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":9000,"affinity":"r9"}]}'
wait_starts 2 1 10 || cannot_run "the second job has not begun"
[ "$(runs_of 2 start | cut -d' ' -f2)" = i-1 ] || cannot_run "the second job is not where its data is"
if [ "$trouble" != 0 ]; then
  sleep 1.2
  kill -STOP "$proxy"
  note "script cuts i-1 off"
  sleep 5.3
  kill -CONT "$proxy"
  note "script ends the cut"
fi
wait_starts 2 2 6 || true
# Until the first run has ended.
for _ in $(seq 100); do
  ended=$(runs_of 2 'end-[a-z]+' | awk '$2 == "i-1" { print $1; exit }')
  [ -n "$ended" ] && break
  sleep 0.1
done
[ -n "$ended" ] || cannot_run "the first run has not ended"
again=$(runs_of 2 start | sed -n 2p | cut -d' ' -f1)
if [ -n "$again" ] && [ "$again" -lt "$ended" ]; then
  echo "TWICE: the second run began $((ended - again)) ms before the first one ended" | tee -a "$record"
  exit 1
fi
echo "no two runs of the task at the same time; first end $ended, second start ${again:-none}" | tee -a "$record"
[ "$trouble" = 0 ] || [ -n "$again" ] || cannot_run "the task was not started again"
