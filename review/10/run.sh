#!/usr/bin/env bash
# Executors crash, one at a time, and start again at once under their ids as another kind. Tasks
# that need the kind that they had are started there. TROUBLE=0: they start again as the same kind.
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

# For each kind two tasks, of which one executor runs one at a time: the other one waits.
for i in $(seq 9); do
  submit "$i" '{"spec":"ms=90000","steps":[{"count":2,"cpu":20000,"memMb":100,"estimateMs":90000,"requires":"k'"$i"'"}]}'
done
for i in $(seq 9); do
  wait_starts "$i" 1 10 || cannot_run "job $i has not begun"
done
declare -A kind_now
for i in $(seq 9); do
  kind_now[$i]=k$i
done
for i in $(seq 9); do
  kill_executor "i-$i"
  sleep 0.5
  [ "$trouble" = 0 ] || kind_now[$i]=z
  start_executor "i-$i" "${kind_now[$i]}"
  note "script starts i-$i as ${kind_now[$i]}"
  sleep 3.5
done
# Starts on an executor that has another kind by then.
broken=0
for i in $(seq 9); do
  [ "$trouble" = 0 ] && continue
  since=$(grep "script starts i-$i as z" "$record" | cut -d' ' -f1)
  count=$(runs_of "$i" start | awk -v since="$since" '$1 >= since' | wc -l)
  [ "$count" -eq 0 ] && continue
  broken=$((broken + count))
  note "ROUTE: $count starts of job $(job_id "$i"), which requires k$i, on i-$i as z"
done
echo "$broken starts on executors without the label that the step requires" | tee -a "$record"
[ "$broken" -eq 0 ] || exit 1
