#!/usr/bin/env bash
# Schedulers on the stand-in of the users' platform: one is killed, one is stopped as planned, and
# all are killed at once. Every accepted job is completed, and no task runs twice.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh

job='{"spec":"150","steps":[{"count":3,"cpu":1000,"memMb":10,"estimateMs":150},{"count":2,"cpu":2000,"memMb":10,"estimateMs":150,"after":[0]}]}'
start_job_platform 6
start_schedulers 3
for number in $(seq 20); do
  submit_job "$number" "$job"
done
kill -KILL "${schedulers[0]}"
for number in $(seq 21 40); do
  submit_job "$number" "$job"
done
start_scheduler 0
wait_scheduler 0
kill -TERM "${schedulers[1]}"
for number in $(seq 41 60); do
  submit_job "$number" "$job"
done
kill -KILL "${schedulers[0]}" "${schedulers[2]}"
sleep 0.5
start_scheduler 0
start_scheduler 2
wait_scheduler 0
wait_scheduler 2
for number in $(seq 60); do
  wait_state $((number % 2 * 2)) "$number" completed
done
require "$(summary twice)" -eq 0 "no task ran twice at once"
require "$(summary again)" -eq 0 "no task started again after it was done"
require "$(summary starts)" -ge 300 "every task started"
require "$(status_of "${fronts[0]}" GET "/previews/$(job_id 999)")" -eq 410 "a job that nobody handed in is not known"
require "$(status_of "${fronts[0]}" POST /previews/0000000000000000 '{"steps":1}')" -eq 400 "what is no job is refused"
require "$(status_of "${fronts[0]}" POST /nowhere/0000000000000000 "$job")" -eq 404 "there is no such queue"
http "${metrics[0]}" GET /metrics | grep -q sesameseam_jobs_total
