# Starts a small deployment for a script of this review: the schedulers with the command of the
# deploy file, and a stand-in of the platform. To be sourced by run.sh in the folder of its case.
# Such a script sets `trouble` and `record` before, and exits with 1 if the rule was broken, 0 if it
# held and 2 if the case couldn't run.

here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$here/../.." || exit 2
program=target/Services/sesameseam-schedulerd
standin=target/review/standin
work=$(mktemp -d)
processes=()
schedulers=()
fronts=()
readies=()
: >"$record"

stop_all() {
  for process in "${processes[@]}"; do
    kill -KILL "$process" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

note() { echo "$(date +%s%3N) $*" >>"$record"; }

finish() { # finish STATUS TEXT
  note "verdict $1: $2"
  echo "$2"
  exit "$1"
}

if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
  finish 2 "build first: the deploy file's command and review/build.sh"
fi

# Makes a call and notes it. Sets `status`, which is 0 without an answer within 3 s, and `body`.
call() { # call ADDRESS METHOD PATH [BODY]
  local file=()
  if [ $# -gt 3 ]; then
    printf '%s' "$4" >"$work/body"
    file=("$work/body")
  fi
  local answer
  answer=$("$standin" call "$1" "$2" "$3" "$host" "${file[@]}")
  status=${answer%% *}
  body=${answer#* }
  note "sent $2 $3 to $1, answered $status $body"
}

# Asks the stand-in of the platform for something, which notes it itself.
control() { # control PATH [BODY]
  printf '%s' "${2:-}" >"$work/control"
  "$standin" call "${stores[0]}" POST "/control/$1" x "$work/control" | cut -d' ' -f2-
}

# Starts the platform with a store address for each scheduler, so that it knows who calls.
start_platform() { # start_platform SCHEDULERS ID,POOL,CPU,MEMORY...
  local count=$1 arguments=() ports i=0
  shift
  # Also those of the schedulers, four each, so that no port is given twice.
  mapfile -t ports < <("$standin" ports $((5 * count + $#)))
  scheduler_ports=("${ports[@]:$((count + $#))}")
  stores=()
  for ((; i < count; ++i)); do
    stores+=("127.0.0.1:${ports[$i]}")
    arguments+=(--store "${stores[$i]}")
  done
  for executor in "$@"; do
    arguments+=(--executor "127.0.0.1:${ports[$i]},$executor")
    i=$((i + 1))
  done
  "$standin" "${arguments[@]}" --record "$record" 2>>"$work/platform.log" &
  processes+=($!)
  platform=$!
  sleep 0.3
}

start_scheduler() { # start_scheduler INDEX
  local index=$1 ports
  if [ -z "${fronts[$index]:-}" ]; then
    ports=("${scheduler_ports[@]:$((4 * index)):4}")
    fronts[index]=127.0.0.1:${ports[0]}
    readies[index]=127.0.0.1:${ports[1]}
    cat >"$work/s$index.json" <<JSON
{ "name": "edge-$index", "front": "${fronts[$index]}", "ready": "${readies[$index]}",
  "metrics": "127.0.0.1:${ports[2]}", "relay": "127.0.0.1:${ports[3]}",
  "store": "${stores[$index]}", "machines": "${stores[$index]}", "partitions": 24,
  "cpu_cores": 0.25, "manifest_deadline": "2000ms", "drain_deadline": "2000ms",
  "member_time_to_live": "1500ms", "max_lease": "6000ms", "stop_time": "900ms",
  "holder_lease": "3000ms", "move_time": "1.5s", "stop_grace": "6s", "log_lines_per_second": 1000 }
JSON
  fi
  "$program" --settings "$work/s$index.json" >>"$work/s$index.log" 2>&1 &
  schedulers[index]=$!
  processes+=($!)
  disown $!
  note "scheduler $index started as process $!"
}

wait_ready() { # wait_ready INDEX
  for _ in $(seq 200); do
    call "${readies[$1]}" GET /sesameseam/ready
    [ "$status" = 200 ] && return 0
    sleep 0.1
  done
  tail -n 5 "$work/s$1.log" >>"$record"
  finish 2 "scheduler $1 is not ready"
}

# A manifest: a route PREFIX=SERVICE each, all at $host.
put_manifest() { # put_manifest VERSION PREFIX=SERVICE...
  local version=$1 routes="" services="" name
  shift
  for route in "$@"; do
    routes+="${routes:+,}{\"name\":\"r-${route%%=*}\",\"host\":\"$host\",\"prefix\":\"/${route%%=*}/\",\"type\":\"non_idempotent\",\"timeoutMs\":3000,\"targetRuntimeMs\":600,\"priority\":0,\"service\":\"${route#*=}\",\"attempts\":4,\"stretch\":1.6}"
  done
  for name in "${pools[@]}"; do
    services+="${services:+,}{\"name\":\"$name\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"preconditions\":false,\"standby\":false}"
  done
  control "put?topic=keyed.op&key=config" "{\"version\":$version,\"routes\":[$routes],\"services\":[$services],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}" >/dev/null
}

# Hands a job in until it is accepted, at each scheduler in turn.
submit() { # submit PREFIX ID BODY
  for try in $(seq 0 30); do
    call "${fronts[$((try % ${#fronts[@]}))]}" POST "/$1/$2" "$3"
    [ "$status" = 200 ] && return 0
    sleep 0.3
  done
  finish 2 "job $2 was not accepted"
}

# Waits until a scheduler shows the job in the state.
wait_state() { # wait_state PREFIX ID STATE SECONDS
  local until=$(($(date +%s) + $4))
  while [ "$(date +%s)" -lt "$until" ]; do
    for front in "${fronts[@]}"; do
      call "$front" GET "/$1/$2"
      [ "$status" = 200 ] && [[ $body == *"\"$3\""* ]] && return 0
    done
    sleep 0.3
  done
  return 1
}

is_running() { # is_running INDEX
  kill -0 "${schedulers[$1]}" 2>/dev/null
}
