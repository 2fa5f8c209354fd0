#!/usr/bin/env bash
# Guards against two runs of a task after an idle executor has started again under its id, is sent a
# lease by the clock of its former process, and is cut off soon after (issues 56 and 60).
#
# Four of twelve executors are reached through a proxy. The proxy is stopped and the four are killed;
# they start again, and calls of the time between reach the new processes; then they are cut off.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh
. Meta/restarting-executors.sh
rounds=${2:-1}

start_restarting_executors
sleep 1

for round in $(seq "$rounds"); do
  signal_proxy STOP
  for i in $(seq 0 3); do kill_job_executor "$i"; done
  sleep 0.4
  for i in $(seq 0 3); do start_job_executor "$i" --clock-speed 0.98; done
  signal_proxy CONT
  if [ "$round" = 1 ]; then
    # Enough for the four, and then a job each 0.9 s.
    for number in $(seq 8); do submit_job "$number" "$long_job"; done
    for number in $(seq 9 1000); do
      submit_job "$number" "$long_job" || break
      sleep 0.9
    done &
    processes+=($!)
    disown $!
  fi
  sleep 1.3
  signal_proxy STOP
  sleep 9
  signal_proxy CONT
  sleep 3
done
require "$(grep -c ' start ' "$record")" -ge 50 "tasks were started"
require "$(grep -c 'i-[0-3] lapse' "$record")" -ge 1 "runs were cut off"
require_no_task_twice
