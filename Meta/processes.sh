# Starts and ends the processes of a deployment on this machine. To be sourced; the caller sets
# `build` to the build folder. Every process is ended by its id when the script ends.

work=$(mktemp -d)
processes=()
callers=()
operators=()
peers=()
entry_processes=()
executors=()
executor_processes=()
zones=(semarang solo pekalongan)

stop_all() {
  for process in "${processes[@]}"; do
    kill "$process" 2>/dev/null || true
    kill -CONT "$process" 2>/dev/null || true
  done
  for process in "${processes[@]}"; do
    wait "$process" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

start() { # start LOG COMMAND...
  local log=$1
  shift
  "$@" >>"$work/$log.log" 2>&1 &
  processes+=($!)
  disown $!
}

free_ports() { # free_ports COUNT
  "$build/Tests/standin-ports" "$1"
}

http() { # http ADDRESS METHOD PATH [BODY]
  local address=$1 method=$2 path=$3 body=${4:-}
  exec 3<>"/dev/tcp/${address%:*}/${address##*:}" || return 1
  printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$method" "$path" "${#body}" "$body" >&3
  cat <&3
  exec 3<&- 3>&-
}

wait_ready() { # wait_ready CALLER_ADDRESS
  for _ in $(seq 200); do
    if http "$1" GET /ready 2>/dev/null | head -n 1 | grep -q ' 200 '; then
      return 0
    fi
    sleep 0.1
  done
  echo "the entry host at $1 is not ready" >&2
  cat "$work"/*.log >&2
  return 1
}

start_platform() { # start_platform HOSTS [FLAG...]
  local hosts=$1 flags=()
  shift
  for i in $(seq "$hosts"); do
    flags+=(--host "h$i")
  done
  platform=127.0.0.1:$(free_ports 1)
  start platform "$build/Tests/standin-platform" --listen "$platform" "${flags[@]}" "$@"
}

start_executors() { # start_executors COUNT
  local ports
  mapfile -t ports < <(free_ports "$1")
  for i in $(seq 0 $(($1 - 1))); do
    executors+=("127.0.0.1:${ports[$i]}")
    start "executor-h$((i + 1))" "$build/Tests/standin-executor" --listen "${executors[$i]}" \
      --name "h$((i + 1))"
    executor_processes+=("${processes[-1]}")
  done
}

# Starts entry host INDEX, from 0, at the addresses that it had before if it had any.
start_entry_host() { # start_entry_host INDEX [SETTING...], such as '"member_timeout": "3s"'
  local index=$1 extra="" ports
  shift
  for setting in "$@"; do
    extra+=", $setting"
  done
  if [ -z "${callers[$index]:-}" ]; then
    mapfile -t ports < <(free_ports 3)
    callers[$index]=127.0.0.1:${ports[0]}
    operators[$index]=127.0.0.1:${ports[1]}
    peers[$index]=127.0.0.1:${ports[2]}
  fi
  cat >"$work/e$((index + 1)).json" <<JSON
{ "deployment": "demo", "name": "e$((index + 1))", "zone": "${zones[$((index % 3))]}",
  "caller_address": "${callers[$index]}", "operator_address": "${operators[$index]}",
  "peer_address": "${peers[$index]}", "platform_address": "$platform",
  "operator_token_file": "$work/token"$extra }
JSON
  # Written once: an entry host that starts beside this one may be reading it.
  [ -e "$work/token" ] || echo demo-credential >"$work/token"
  start "e$((index + 1))" "$build/Services/sesameseamd" --settings "$work/e$((index + 1)).json"
  entry_processes[$index]=${processes[-1]}
}

start_entry_hosts() { # start_entry_hosts COUNT [SETTING...]
  local count=$1
  shift
  for i in $(seq 0 $((count - 1))); do
    start_entry_host "$i" "$@"
  done
  for i in $(seq 0 $((count - 1))); do
    wait_ready "${callers[$i]}"
  done
  export SESAMESEAM_ENTRY SESAMESEAM_TOKEN_FILE=$work/token SESAMESEAM_OPERATOR=sari
  SESAMESEAM_ENTRY=$(join_by_comma "${operators[@]}")
}

join_by_comma() {
  local IFS=,
  echo "$*"
}

# Puts hosts FIRST..LAST, from 1, into a pool.
add_hosts() { # add_hosts POOL FIRST LAST
  for i in $(seq "$2" "$3"); do
    "$build/Utilities/sesameseam" host add "h$i" "$1" "${executors[$((i - 1))]}" \
      --rack "r$(((i - 1) / 4))" --zone "${zones[$(((i - 1) % 3))]}"
  done
}
