#!/usr/bin/env bash
# One job comes that can never be done. All executors of the service are then kept from all work for
# 16 s, and a task that lasts stays away. TROUBLE=0: that job doesn't come.
# Exit: 1 broken, 0 held, 2 could not run.
set -euo pipefail
cd "$(dirname "$0")/../.."
# What was sent, answered and run.
record=$PWD/review/9/record.txt
. review/6/standin/lib.sh

start_platform
start_executors i-1 i-2 i-3 i-4 i-5 i-6 i-7 i-8 i-9
start_schedulers 3

# A task that lasts; its first run ends as failed after 6 s, as such tasks may at any time.
submit 1 '{"spec":"lasts fail-at=6000","steps":[{"count":1,"cpu":1000,"memMb":100,"daemon":true,"estimateMs":900,"antiAffinity":1}]}'
wait_starts 1 1 10 || cannot_run "the task that lasts has not begun"
sleep 5
if [ "$trouble" != 0 ]; then
  submit 2 '{"spec":"ms=50 fail","steps":[{"count":24,"cpu":5300,"memMb":100,"estimateMs":900}]}'
fi
for _ in $(seq 100); do
  [ -n "$(runs_of 1 end-failed)" ] && break
  sleep 0.1
done
ended=$(runs_of 1 end-failed | head -n 1 | cut -d' ' -f1)
[ -n "$ended" ] || cannot_run "the task that lasts has not ended"
wait_starts 1 2 40 || true
again=$(runs_of 1 start | sed -n 2p | cut -d' ' -f1)
away=$((${again:-$(now_ms)} - ended))
quiet=$(grep -E '^[0-9]+ i-[0-9]+ (start|end-[a-z]+) ' "$record" | awk -v from="$ended" -v until="$((ended + away))" '$1 > from + 2000 && $1 < until - 100' | wc -l)
echo "the task that lasts was away for $away ms; $quiet starts and ends of any task in that time but its first 2 s" | tee -a "$record"
# From 6 s after its last run, nothing of it runs for 3 s, and there is room for it.
[ "$away" -le 9000 ] || exit 1
