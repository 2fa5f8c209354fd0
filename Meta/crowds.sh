# Crowds of clients that don't behave, and what a scheduler must hold to beside them. To be sourced
# after Meta/scheduler-processes.sh.

# The smallest machine has 160 MB and 4,100 descriptors, 200 of them for files. The tests have a
# quarter of this memory and an eighth of the descriptors.
max_memory_mb=40
max_descriptors=512
max_open=$((max_descriptors - 200 / 8))
# A hang is told from a slow answer by this.
answer_seconds=10
scheduler_limits=

# Tells the scheduler its limits by those settings that it knows.
set_limits() {
  local limit
  for limit in "\"memory_mb\": $max_memory_mb" "\"max_descriptors\": $max_descriptors"; do
    cat >"$work/limit.json" <<JSON
{ "name": "s", "front": "127.0.0.1:1", "ready": "127.0.0.1:2", "store": "127.0.0.1:3",
  "machines": "127.0.0.1:3", $limit }
JSON
    if "$build/Services/sesameseam-schedulerd" --settings "$work/limit.json" --check >/dev/null 2>&1; then
      scheduler_limits+=", $limit"
    fi
  done
}

# Starts one scheduler that can't open more descriptors than its machine has.
start_limited_scheduler() {
  set_limits
  start_job_platform 3
  local most
  most=$(ulimit -Sn)
  ulimit -Sn "$max_descriptors"
  start_schedulers 1
  ulimit -Sn "$most"
  scheduler=${schedulers[0]}
}

# Opens a crowd and returns once it can send no more.
start_crowd() { # start_crowd NAME FLAG...
  local name=$1
  shift
  start "crowd-$name" "$build/Tests/standin-crowd" "$@"
  crowd=${processes[-1]}
  for _ in $(seq 600); do
    if grep '^holds' "$work/crowd-$name.log"; then
      return 0
    fi
    sleep 0.1
  done
  echo "the crowd $name has not sent all" >&2
  return 1
}

end_crowd() {
  kill "$crowd"
  # It isn't a child that bash waits for.
  while kill -0 "$crowd" 2>/dev/null; do
    sleep 0.05
  done
}

require_in_bounds() { # require_in_bounds WHAT
  require "$(kill -0 "$scheduler" 2>/dev/null && echo 1 || echo 0)" -eq 1 "$1: the process lives"
  local memory open
  memory=$(awk '/^VmHWM/ { print int($2 / 1024) }' "/proc/$scheduler/status")
  open=$(find "/proc/$scheduler/fd" -mindepth 1 -maxdepth 1 | wc -l)
  echo "$1: memory at its peak $memory MB, $open descriptors open"
  require "$memory" -le "$max_memory_mb" "$1: MB of memory at its peak"
  require "$open" -le "$max_open" "$1: open descriptors"
}

# An ordinary request is answered at each address, and a job gets through to the store and executors.
next_job=1
require_answers() { # require_answers WHAT
  local job='{"spec":"50","steps":[{"count":1,"cpu":1000,"memMb":10,"estimateMs":50}]}'
  export -f http status_of
  ask() {
    timeout "$answer_seconds" bash -c 'status_of "$@"' ask "$@" || echo 0
  }
  require "$(ask "${readies[0]}" GET /sesameseam/ready)" -eq 200 "$1: ready"
  require "$(ask "${metrics[0]}" GET /metrics)" -eq 200 "$1: metrics"
  require "$(ask "${relays[0]}" GET /nowhere)" -eq 404 "$1: relay"
  require "$(ask "${fronts[0]}" POST "/previews/$(job_id "$next_job")" "$job")" -eq 200 "$1: a job is taken"
  wait_state 0 "$next_job" completed
  next_job=$((next_job + 1))
}
