# Starts the scheduler daemons and the stand-in of the users' platform. To be sourced after
# Meta/processes.sh. SESAMESEAM_SCHEDULERD names the program of another build of the schedulers.

start_job_platform() { # start_job_platform EXECUTORS
  local ports flags=()
  mapfile -t ports < <(free_ports $(($1 + 1)))
  store=127.0.0.1:${ports[0]}
  for i in $(seq "$1"); do
    flags+=(--executor "127.0.0.1:${ports[$i]}")
  done
  start job-platform "$build/Tests/standin-job-platform" --store "$store" "${flags[@]}"
}

# Starts the platform with a proxy in front of its store: `store` is the platform's own address, and
# `stores` the one of link 0 of the proxy, for scheduler 0.
start_job_platform_behind_proxy() { # start_job_platform_behind_proxy EXECUTORS
  start_job_platform "$1"
  local ports
  mapfile -t ports < <(free_ports 2)
  control=127.0.0.1:${ports[0]}
  stores=("127.0.0.1:${ports[1]}")
  start proxy "$build/Tests/soak-proxy" --control "$control" --link "${stores[0]}=$store"
}

# Starts scheduler INDEX, from 0, at the addresses that it had before if it had any.
start_scheduler() { # start_scheduler INDEX
  local index=$1 ports
  if [ -z "${fronts[$index]:-}" ]; then
    mapfile -t ports < <(free_ports 4)
    fronts[$index]=127.0.0.1:${ports[0]}
    readies[$index]=127.0.0.1:${ports[1]}
    metrics[$index]=127.0.0.1:${ports[2]}
    relays[$index]=127.0.0.1:${ports[3]}
  fi
  cat >"$work/s$index.json" <<JSON
{ "name": "s$index", "front": "${fronts[$index]}", "ready": "${readies[$index]}",
  "metrics": "${metrics[$index]}", "relay": "${relays[$index]}",
  "cpu_cores": ${scheduler_cores:-1.0}, "share_calls_delay": "${share_calls_delay:-15ms}",
  "store": "${stores[$index]:-$store}",
  "machines": "${stores[$index]:-$store}", "partitions": 24,
  "log_lines_per_second": 1000${scheduler_settings:-}${scheduler_limits:-} }
JSON
  start "s$index" "${SESAMESEAM_SCHEDULERD:-$build/Services/sesameseam-schedulerd}" --settings "$work/s$index.json"
  schedulers[$index]=${processes[-1]}
}

# The caller may set `stores` to the address of the store as each scheduler sees it.
start_schedulers() { # start_schedulers COUNT
  fronts=() readies=() metrics=() relays=() schedulers=()
  for i in $(seq 0 $(($1 - 1))); do
    start_scheduler "$i"
  done
  for i in $(seq 0 $(($1 - 1))); do
    wait_scheduler "$i"
  done
}

wait_scheduler() { # wait_scheduler INDEX
  for _ in $(seq 200); do
    if http "${readies[$1]}" GET /sesameseam/ready 2>/dev/null | head -n 1 | grep -q ' 200 '; then
      return 0
    fi
    sleep 0.1
  done
  echo "scheduler $1 is not ready" >&2
  cat "$work"/*.log >&2
  return 1
}

status_of() { # status_of ADDRESS METHOD PATH [BODY]: the status of the answer, 0 without one
  local answer
  answer=$(http "$@" 2>/dev/null | head -n 1 | cut -d' ' -f2) || true
  echo "${answer:-0}"
}

job_id() { # job_id NUMBER
  printf '%016x' "$1"
}

# Hands job NUMBER in until one scheduler has accepted it, as callers do.
submit_job() { # submit_job NUMBER BODY
  for try in $(seq 0 30); do
    local front=${fronts[$((($1 + try) % ${#fronts[@]}))]}
    if [ "$(status_of "$front" POST "/previews/$(job_id "$1")" "$2")" = 200 ]; then
      return 0
    fi
    sleep 0.2
  done
  echo "job $1 was not accepted" >&2
  return 1
}

# Waits until a scheduler shows the job in the state.
wait_state() { # wait_state INDEX NUMBER STATE
  for _ in $(seq 300); do
    if http "${fronts[$1]}" GET "/previews/$(job_id "$2")" 2>/dev/null | grep -q "\"$3\""; then
      return 0
    fi
    sleep 0.1
  done
  echo "job $2 is not shown as $3 by scheduler $1" >&2
  cat "$work"/s*.log >&2
  return 1
}

summary() { # summary NAME
  http "$store" GET /summary | sed -n "s/^$1 //p" | tr -d '\r'
}
