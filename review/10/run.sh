#!/usr/bin/env bash
# Idle executors crash, one at a time, and start again under their ids as another kind. A task that
# needs the kind that one had, and comes at that moment, is started there. TROUBLE=0: they start
# again as the same kind.
# Exit: 1 broken, 0 held, 2 could not run.
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=review/10
. review/6/standin/lib.sh

start_platform
for i in $(seq 9); do
  start_executor "i-$i" "k$i"
done
start_schedulers 3

kind=z
declare -A since
for i in $(seq 9); do
  [ "$trouble" = 0 ] && kind=k$i
  kill_executor "i-$i"
  sleep 0.5
  start_executor "i-$i" "$kind"
  until [ "$(grep -c " i-$i begins" "$record")" -eq 2 ]; do
    sleep 0.01
  done
  since[$i]=$(now_ms)
  note "script has started i-$i as $kind"
  submit "$i" '{"spec":"ms=500","steps":[{"count":1,"cpu":20000,"memMb":100,"estimateMs":500,"requires":"k'"$i"'"}]}'
  sleep 2
done
# No executor has the kinds k1 to k9 any more when the jobs are handed in.
broken=0
for i in $(seq 9); do
  starts=$(runs_of "$i" start | awk -v since="${since[$i]}" '$1 >= since' | wc -l)
  if [ "$trouble" != 0 ] && [ "$starts" -gt 0 ]; then
    broken=$((broken + 1))
    note "ROUTE: job $(job_id "$i"), which requires k$i, was started on i-$i as z"
  fi
done
echo "$broken of 9 tasks were started on an executor without the label that their step requires" | tee -a "$record"
[ "$broken" -eq 0 ] || exit 1
