# What the scripts of review/6 to review/10 share. To be sourced from the root of the repository,
# with `record` set to the record.txt of the case. The processes are those of deploy/system.toml and
# the stand-ins of review/build-2.sh, on loopback addresses. The bounds are those of the site
# citra-sesame.

bin=target/review-2
scheduler=target/Services/sesameseam-schedulerd
trouble=${TROUBLE:-1}
work=$(mktemp -d)
started=()
declare -A address_of process_of node_of
fronts=()

# Ends all processes that the script has started, by their ids.
end_all() {
  for process in "${started[@]}"; do
    kill -KILL "$process" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap end_all EXIT

cannot_run() { # cannot_run REASON
  echo "the case could not run: $1" | tee -a "$record"
  exit 2
}

# Only a broken rule ends a script with 1.
set -E
trap 'cannot_run "a command failed in line $LINENO"' ERR

[ -x "$bin/platform" ] && [ -x "$scheduler" ] || cannot_run "something is not built"
: >"$record"

now_ms() {
  date +%s%3N
}

# A case that takes too long could not run.
trap 'cannot_run "it has taken 115 s"' TERM
mkfifo "$work/silent"
(read -r -t 115 <>"$work/silent" || kill -TERM $$) >/dev/null 2>&1 &
started+=($!)
disown $!

note() { # note TEXT...
  echo "$(now_ms) $*" >>"$record"
}

start() { # start LOG COMMAND...: `process` is its id
  local log=$1
  shift
  "$@" >>"$work/$log.log" 2>&1 &
  process=$!
  disown "$process"
  started+=("$process")
}

# Sends a request; `status` is 0 without an answer, `body` the last line of the answer.
send() { # send ADDRESS METHOD PATH [BODY]
  local answer
  answer=$(timeout 3 bash -c '
    exec 3<>"/dev/tcp/${1%:*}/${1##*:}" || exit 1
    printf "%s %s HTTP/1.1\r\nHost: review.example\r\nConnection: close\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" \
      "$2" "$3" "${#4}" "$4" >&3
    cat <&3' send "$1" "$2" "$3" "${4:-}" 2>/dev/null) || true
  status=$(head -n 1 <<<"$answer" | cut -d' ' -f2)
  status=${status:-0}
  body=$(tail -n 1 <<<"$answer" | tr -d '\r')
}

job_id() { # job_id NUMBER
  printf '%016x' "$1"
}

# Hands a job in, as requesters do: again at another node until it is accepted.
submit() { # submit NUMBER BODY
  for try in $(seq 0 9); do
    send "${fronts[$((($1 + try) % ${#fronts[@]}))]}" POST "/previews/$(job_id "$1")" "$2"
    note "client POST $(job_id "$1") $status ${2:0:160}"
    [ "$status" = 200 ] && return 0
    sleep 0.3
  done
  cannot_run "job $1 was not accepted"
}

# Sets `state` to what a node says of a job.
ask() { # ask NUMBER
  send "${fronts[$(($1 % ${#fronts[@]}))]}" GET "/previews/$(job_id "$1")"
  state=$(sed -n 's/.*"state":"\([a-z]*\)".*/\1/p' <<<"$body")
  note "client GET $(job_id "$1") $status $state"
}

start_platform() {
  mapfile -t ports < <("$bin/ports" 1)
  store=127.0.0.1:${ports[0]}
  cat >"$work/config.json" <<'JSON'
{"version":1,"routes":[{"name":"previews","host":"review.example","prefix":"/previews/","service":"studio","targetRuntimeMs":600,"priority":0,"attempts":4,"stretch":1.6}],"services":[{"name":"studio","standby":false,"preconditions":false}],"limits":{}}
JSON
  start platform "$bin/platform" "$store" "$work/config.json" "$record"
  sleep 0.3
}

# Starts an executor of 32 cores, at the address that it had before if it had any.
start_executor() { # start_executor ID [KIND]
  if [ -z "${address_of[$1]:-}" ]; then
    mapfile -t ports < <("$bin/ports" 1)
    address_of[$1]=127.0.0.1:${ports[0]}
  fi
  start "$1" "$bin/executor" "${address_of[$1]}" "$store" "$1" studio "${2:-a}" r1 32000 "$record"
  process_of[$1]=$process
}

kill_executor() { # kill_executor ID
  kill -KILL "${process_of[$1]}"
  note "script kills $1"
}

start_executors() { # start_executors ID...
  for id in "$@"; do
    start_executor "$id"
  done
}

# Starts schedulers with the settings that deploy/node.json makes of the site citra-sesame.
start_schedulers() { # start_schedulers COUNT
  for i in $(seq "$1"); do
    mapfile -t ports < <("$bin/ports" 4)
    fronts+=("127.0.0.1:${ports[0]}")
    cat >"$work/n$i.json" <<JSON
{ "name": "n$i", "front": "127.0.0.1:${ports[0]}", "ready": "127.0.0.1:${ports[1]}",
  "metrics": "127.0.0.1:${ports[2]}", "relay": "127.0.0.1:${ports[3]}", "store": "$store",
  "machines": "$store", "partitions": 24, "cpu_cores": 0.25, "manifest_deadline": "2000ms",
  "drain_deadline": "2000ms", "member_time_to_live": "1500ms", "max_lease": "6000ms",
  "stop_time": "900ms", "holder_lease": "3000ms", "move_time": "1.5s", "stop_grace": "6s",
  "log_lines_per_second": 60 }
JSON
    start "n$i" "$scheduler" --settings "$work/n$i.json"
    node_of[$i]=$process
    readies[$i]=127.0.0.1:${ports[1]}
  done
  for i in $(seq "$1"); do
    for _ in $(seq 100); do
      send "${readies[$i]}" GET /sesameseam/ready
      [ "$status" = 200 ] && break
      sleep 0.1
    done
    [ "$status" = 200 ] || cannot_run "scheduler $i is not ready"
  done
  # Executors are known, and take work, a moment later.
  sleep 3
}

# Prints the lines of a job's runs, such as "1765000000000 i-1 start 0000000000000001.0.0.0 1".
runs_of() { # runs_of NUMBER [WHAT]
  grep -E "^[0-9]+ [^ ]+ ${2:-(start|end-[a-z]+)} $(job_id "$1")\." "$record" || true
}

# Waits until a job has COUNT starts in all.
wait_starts() { # wait_starts NUMBER COUNT SECONDS
  for _ in $(seq $(($3 * 20))); do
    [ "$(runs_of "$1" start | wc -l)" -ge "$2" ] && return 0
    sleep 0.05
  done
  return 1
}
