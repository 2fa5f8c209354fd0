# Starts executors as processes of their own, which can be killed and started again under their ids,
# and checks what they have recorded. To be sourced after Meta/scheduler-processes.sh.

record=$work/record
: >"$record"
executor_listens=() executor_listeds=() job_executors=()

# Gives addresses to COUNT executors. The first BEHIND of them are reached through links of one
# proxy with the same numbers.
prepare_job_executors() { # prepare_job_executors COUNT BEHIND
  local ports links=()
  mapfile -t ports < <(free_ports $(($1 + $2 + 1)))
  for i in $(seq 0 $(($1 - 1))); do
    executor_listens[$i]=127.0.0.1:${ports[$i]}
    executor_listeds[$i]=127.0.0.1:${ports[$i]}
    if [ "$i" -lt "$2" ]; then
      executor_listeds[$i]=127.0.0.1:${ports[$(($1 + i))]}
      links+=(--link "${executor_listeds[$i]}=${executor_listens[$i]}")
    fi
  done
  control=127.0.0.1:${ports[$(($1 + $2))]}
  start proxy "$build/Tests/soak-proxy" --control "$control" "${links[@]}"
  proxy=${processes[-1]}
  # Listens before others look for free ports.
  for _ in $(seq 100); do
    http "$control" GET "/parked?link=0" >/dev/null 2>&1 && return 0
    sleep 0.02
  done
  echo "the proxy does not answer" >&2
  cat "$work/proxy.log" >&2
  return 1
}

signal_proxy() { # signal_proxy SIGNAL
  kill -"$1" "$proxy" || {
    echo "the proxy has ended by itself" >&2
    cat "$work/proxy.log" >&2
    return 1
  }
  note "proxy SIG$1"
}

start_job_executor() { # start_job_executor INDEX [FLAG...]
  local index=$1
  shift
  start "i-$index" "$build/Tests/standin-job-executor" --listen "${executor_listens[$index]}" \
    --listed "${executor_listeds[$index]}" --store "$store" --id "i-$index" --record "$record" "$@"
  job_executors[$index]=${processes[-1]}
}

note() { # note WORD...: a line in the record
  echo "$(date +%s%3N) $*" >>"$record"
}

kill_job_executor() { # kill_job_executor INDEX
  kill -KILL "${job_executors[$1]}" || {
    echo "executor $1 has ended by itself" >&2
    cat "$work/i-$1.log" >&2
    return 1
  }
  note "i-$1 killed"
}

set_links() { # set_links FIRST LAST SETTINGS, such as "to=held&from=held"
  for i in $(seq "$1" "$2"); do
    http "$control" POST "/set?link=$i&$3" >/dev/null
  done
  note "links $1..$2 $3"
}

# The open connections of the links fall silent, and new ones are refused.
refuse_links() { # refuse_links FIRST LAST
  set_links "$1" "$2" "silence=1&refuse=1"
}

# Jobs of seven tasks, by the time that each takes in ms.
long_job='{"spec":"11000","steps":[{"count":7,"cpu":2000,"memMb":10,"estimateMs":900}]}'
short_job='{"spec":"2200","steps":[{"count":7,"cpu":2000,"memMb":10,"estimateMs":900}]}'

# Starts twelve executors, the first four of them with slow clocks behind a proxy, and three
# schedulers.
start_restarting_executors() {
  start_job_platform 0
  prepare_job_executors 12 4
  for i in $(seq 0 3); do start_job_executor "$i" --clock-speed 0.98; done
  for i in $(seq 4 11); do start_job_executor "$i"; done
  scheduler_cores=0.25
  start_schedulers 3
  wait_heard 12
}

# Submits the job again and again until the test ends, with numbers from FIRST on.
submit_jobs_all_along() { # submit_jobs_all_along BODY PAUSE [FIRST]
  local first=${3:-1}
  for number in $(seq "$first" $((first + 400))); do
    submit_job "$number" "$1" || break
    sleep "$2"
  done &
  processes+=($!)
  disown $!
}

# Waits until the record has COUNT lines that match the pattern.
wait_recorded() { # wait_recorded COUNT PATTERN SECONDS
  for _ in $(seq $(($3 * 20))); do
    [ "$(grep -c -E "$2" "$record")" -ge "$1" ] && return 0
    sleep 0.05
  done
  echo "the record has fewer than $1 lines $2" >&2
  return 1
}

# Waits until each of COUNT executors has been heard by its owner.
wait_heard() { # wait_heard COUNT
  for i in $(seq 0 $(($1 - 1))); do
    wait_recorded 1 " i-$i call heartbeat" 10
  done
}

# Waits until no run is at work on the executors 0 to 3.
wait_until_idle() { # wait_until_idle SECONDS
  for _ in $(seq $(($1 * 20))); do
    [ "$(grep -c 'i-[0-3] start ' "$record")" -le "$(grep -c 'i-[0-3] end-' "$record")" ] && return 0
    sleep 0.05
  done
}

# Prints a line for each two runs of one task that were at work at once, with the time that both
# were, and for each start after an end that is "done" and is taken note of then or later. An end
# that nobody has seen before the lease there expired doesn't count.
runs_of_a_task_twice() {
  sort -s -n -k 1,1 "$record" | awk '
    function end_run(run, at) {
      split(run, part, SUBSEP)
      delete active[run]
      if (--count[part[1]] == 1 && part[1] in since) {
        printf "at once: %s for %d ms until run %s on %s ended\n", part[1], at - since[part[1]], part[2], part[3]
        delete since[part[1]]
      }
    }
    $3 == "start" {
      if ($4 in noted) { print "after a done end: " $0 }
      if ($4 in unseen) { again[$4] = $0 }
      if (count[$4]++ == 1) { since[$4] = $1 }
      active[$4, $5, $2] = $1
      next
    }
    $3 ~ /^end-/ {
      end_run($4 SUBSEP $5 SUBSEP $2, $1)
      if ($3 == "end-done") { unseen[$4] = $2 }
      next
    }
    $3 == "noted-done" {
      noted[$4] = 1
      if ($4 in again) { print "after a done end: " again[$4] }
      next
    }
    $3 == "killed" {
      for (run in active) {
        split(run, part, SUBSEP)
        if (part[3] == $2) { end_run(run, $1) }
      }
    }
    $3 == "killed" || $3 == "lapse" {
      for (task in unseen) { if (unseen[task] == $2) { delete unseen[task]; delete again[task] } }
    }
    END { for (task in since) { print "at once: " task " to the end of the record" } }'
}

# Fails, with what the schedulers have logged, if the record shows a task twice.
require_no_task_twice() {
  local twice
  twice=$(runs_of_a_task_twice)
  echo "$(grep -c ' start ' "$record") starts"
  if [ -n "${KEEP_RECORD:-}" ]; then
    mkdir -p "$KEEP_RECORD"
    cp "$record" "$work"/s*.log "$KEEP_RECORD"
  fi
  if [ -n "$twice" ]; then
    echo "$twice"
    for task in $(grep -o '[0-9a-f]\{16\}[.0-9]*' <<<"$twice" | sort -u | head -n 3); do
      grep -h " $task " "$record"
      grep -h "${task%%.*}" "$work"/s*.log | grep "task-lost\|start-given-up\|${task#*.} " || true
    done
    grep -h "executor-silent\|executor-restarted" "$work"/s*.log || true
    return 1
  fi
}
