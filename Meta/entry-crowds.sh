# Sets crowds of clients that leave something unfinished on one entry host. To be sourced after
# Meta/processes.sh. All figures are a quarter of a machine of the smallest site: 260 MB, 4,100
# descriptors; and of the settings' defaults.

max_memory_kb=$((65 * 1024))
max_descriptors=1024
# What the entry host's own calls need at once: one for each request under way, and a few more.
max_requests=64
kept_descriptors=$((max_requests + 36))
max_body_bytes=262144

sesameseam=$build/Utilities/sesameseam

start_bounded_entry_host() {
  local before
  start_platform 2
  start_executors 2
  before=$(ulimit -Sn)
  ulimit -Sn "$max_descriptors"
  start_entry_host 0 "\"max_requests\": $max_requests" "\"max_body_bytes\": $max_body_bytes"
  ulimit -Sn "$before"
  wait_ready "${callers[0]}"
  export SESAMESEAM_ENTRY=${operators[0]} SESAMESEAM_TOKEN_FILE=$work/token SESAMESEAM_OPERATOR=sari
  "$sesameseam" --wait pool define Examples/pool-previews.json >/dev/null
  add_hosts previews 1 2 >/dev/null
  check_bounded "before any crowd"
}

fail() {
  echo "FAILED: $1" >&2
  tail -n 20 "$work"/e1.log >&2
  exit 1
}

# Waits long: no time is checked here, only that there is an answer.
check_request_answered() { # check_request_answered WHEN
  local outcome
  outcome=$(timeout 60 "$sesameseam" request send previews --caller "${callers[0]}" --idempotent \
    --body '{"token":"t1","work":"10ms"}' --deadline 30s 2>&1) ||
    fail "a request is not answered $1: $outcome"
  timeout 60 "$sesameseam" status --json | grep -q '"ready":true' ||
    fail "the operator is not answered $1"
}

check_bounded() { # check_bounded WHEN
  local process=${entry_processes[0]} peak open
  kill -0 "$process" 2>/dev/null || fail "the entry host ended $1"
  open=$(ls "/proc/$process/fd" | wc -l)
  check_request_answered "$1"
  kill -0 "$process" 2>/dev/null || fail "the entry host ended $1"
  peak=$(awk '/^VmHWM/ { print $2 }' "/proc/$process/status")
  echo "$1: at most $peak kB, $open descriptors"
  [ "$peak" -le "$max_memory_kb" ] || fail "it held $peak kB $1, $max_memory_kb are its share"
  [ "$open" -le $((max_descriptors - kept_descriptors)) ] ||
    fail "$open of $max_descriptors descriptors are open $1"
}

# Waits until the entry host accepts no more of the connections that wait for it.
wait_settled() {
  local open=0 before=-1
  for _ in $(seq 60); do
    open=$(ls "/proc/${entry_processes[0]}/fd" | wc -l) || return 0
    [ "$open" -eq "$before" ] && return 0
    before=$open
    sleep 2
  done
}

# Checks the entry host while a crowd stands at it, and once the crowd has gone.
meet_crowd() { # meet_crowd NAME FLAG...
  local name=$1 crowd
  shift
  start "crowd-$name" "$build/Tests/standin-entry-crowd" "$@"
  crowd=${processes[-1]}
  for _ in $(seq 600); do
    grep -qs '^stands' "$work/crowd-$name.log" && break
    sleep 0.2
  done
  grep '^stands' "$work/crowd-$name.log" || fail "the crowd does not come to stand: $name"
  wait_settled
  check_bounded "beside the crowd $name"
  kill "$crowd"
  check_bounded "after the crowd $name"
}
