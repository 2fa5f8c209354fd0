# What the tests with real processes share. To be sourced after Meta/processes.sh.

sesameseam=$build/Utilities/sesameseam

# Starts the platform, executors and entry hosts, with all executors in the pool "previews".
start_deployment() { # start_deployment ENTRY_HOSTS EXECUTORS [SETTING...]
  local hosts=$1 workers=$2
  shift 2
  start_platform "$workers"
  start_executors "$workers"
  start_entry_hosts "$hosts" "$@"
  "$sesameseam" pool define Examples/pool-previews.json >/dev/null
  add_hosts previews 1 "$workers" >/dev/null
  wait_answered
}

# Waits until every entry host answers a request, so that a test starts from a deployment at rest.
wait_answered() {
  for caller in "${callers[@]}"; do
    for _ in $(seq 200); do
      http_request "$caller" && break
      sleep 0.1
    done
  done
}

http_request() { # http_request CALLER_ADDRESS
  local body='{"token":"warm-up","work":"1ms"}'
  exec 3<>"/dev/tcp/${1%:*}/${1##*:}" || return 1
  printf 'POST /request HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Pool: previews\r\nX-Idempotent: true\r\nX-Deadline: 2s\r\nContent-Length: %d\r\n\r\n%s' \
    "${#body}" "$body" >&3
  head -n 1 <&3 | grep -q ' 200 '
  local found=$?
  exec 3<&- 3>&-
  return $found
}

# Sends COUNT print orders, each with a key, in the background. Its report is the file "report".
start_orders() { # start_orders COUNT RATE WORK [FLAG...]
  local count=$1 rate=$2 time=$3
  shift 3
  cat >"$work/orders.json" <<JSON
[ { "name": "order", "pool": "previews", "class": "ordinary", "team": "solo",
    "deadline": "4s", "idempotent": false, "work": "$time", "count": $count } ]
JSON
  "$build/Utilities/sesameseam-load" "$work/orders.json" --json --rate "$rate" --seed "${seed:-7}" \
    --threads 128 --entry "$(join_by_comma "${callers[@]}")" \
    --executor "$(join_by_comma "${executors[@]}")" "$@" >"$work/report" 2>"$work/load.log" &
  load=$!
}

# Waits for the orders. Fails if a promise was broken, or an order has no outcome.
finish_orders() {
  local held=0
  wait "$load" || held=$?
  cat "$work/load.log"
  sed 's/"each".*//' "$work/report"
  echo
  if [ "$held" -ne 0 ]; then
    grep -o '{"token":[^}]*}' "$work/report" | grep -v '"answered"' | head -n 20
    echo "a promise was broken (exit $held)"
    return 1
  fi
}

# The tries of all orders together.
tries() {
  grep -o '"tries":[0-9]*' "$work/report" | cut -d: -f2 | awk '{ sum += $1 } END { print sum }'
}

figure() { # figure NAME
  sed 's/"each".*//' "$work/report" | grep -o "\"$1\":[0-9]*" | cut -d: -f2
}

require() { # require LEFT OPERATOR RIGHT WHAT
  [ "$1" "$2" "$3" ] || {
    echo "failed: $4: $1 $2 $3"
    exit 1
  }
}

set_faults() { # set_faults ADDRESS JSON
  http "$1" POST /control "$2" >/dev/null
}
