#!/usr/bin/env bash
# A fault soak with the real schedulers as processes: SEED says what happens. Between schedulers,
# store and executors stands a proxy that delays, holds back and resets; schedulers are killed,
# stopped as planned, paused and started again; the store refuses calls, loses answers and forgets
# its history. Callers hold what they are told against what the executors have started.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
seed=${2:-1}
seconds=${3:-10}
schedulers_count=${SOAK_SCHEDULERS:-4}
executors_count=${SOAK_EXECUTORS:-6}
. Meta/processes.sh
. Meta/process-faults.sh
. Meta/scheduler-processes.sh

RANDOM=$seed
links_count=$((schedulers_count + executors_count))
# Seeds below this one play the faults that there were when they were recorded, so that a seed that
# failed keeps its meaning.
first_seed_with_all_faults=1000
link_fault_kinds=5
platform_fault_kinds=5
if [ "$seed" -ge "$first_seed_with_all_faults" ]; then
  link_fault_kinds=6
  platform_fault_kinds=6
fi
# From this seed on, signals, restarts and changes also come in series that overlap.
first_seed_with_series=3000
# From this seed on, schedulers make all calls to executors for one another.
first_seed_with_relays=5000
if [ "$seed" -ge "$first_seed_with_relays" ]; then
  scheduler_cores=0.001
  share_calls_delay=0ms
fi
manifest_version=1

start_links() {
  local ports targets flags=()
  mapfile -t ports < <(free_ports $((links_count + executors_count + 2)))
  store=127.0.0.1:${ports[-1]}
  control=127.0.0.1:${ports[-2]}
  stores=() targets=()
  for i in $(seq 0 $((schedulers_count - 1))); do
    stores[$i]=127.0.0.1:${ports[$i]}
    flags+=(--link "${stores[$i]}=$store")
  done
  for i in $(seq 0 $((executors_count - 1))); do
    local listed=127.0.0.1:${ports[$((schedulers_count + i))]}
    local own=127.0.0.1:${ports[$((links_count + i))]}
    flags+=(--link "$listed=$own")
    targets+=(--executor "$own=$listed")
  done
  start job-platform "$build/Tests/standin-job-platform" --store "$store" "${targets[@]}"
  start proxy "$build/Tests/soak-proxy" --control "$control" "${flags[@]}"
}

set_link() { # set_link QUERY
  http "$control" POST "/set?$1" >/dev/null || true
}

set_platform() { # set_platform QUERY
  http "$store" POST "/control?$1" >/dev/null || true
}

pick() { # pick COUNT: a number below COUNT
  picked=$((RANDOM % $1))
}

note() {
  echo "$(date +%s.%N | cut -c1-14) $*" >>"$work/faults.log"
}

# Ends by itself after the given time, so that faults overlap.
later() { # later SECONDS COMMAND...
  local wait=$1
  shift
  (
    trap - EXIT
    sleep "$wait"
    "$@"
  ) >/dev/null 2>&1 &
}

restart_scheduler() { # restart_scheduler INDEX
  wait "${schedulers[$1]}" 2>/dev/null || true
  start_scheduler "$1"
}

is_running() { # is_running INDEX
  kill -0 "${schedulers[$1]}" 2>/dev/null
}

link_fault() {
  local index=$1 kind
  pick "$link_fault_kinds"
  kind=$picked
  pick 30
  local time
  time=$((picked / 10)).$((picked % 10))
  case $kind in
    0) set_link "link=$index&delay=$((50 + RANDOM % 400))" ;;
    1) set_link "link=$index&to=held" ;;
    2) set_link "link=$index&from=held" ;;
    3) set_link "link=$index&to=held&from=held" ;;
    4) set_link "link=$index&reset=1" ;;
    5) set_link "link=$index&silence=1" ;;
  esac
  note "link $index fault $kind for $time s"
  later "$time" set_link "link=$index&delay=0&to=open&from=open"
}

scheduler_fault() {
  local index kind
  pick "$schedulers_count"
  index=$picked
  pick 4
  kind=$picked
  note "scheduler $index fault $kind"
  if ! is_running "$index"; then
    restart_scheduler "$index"
    return
  fi
  case $kind in
    0) kill -KILL "${schedulers[$index]}" ;;
    1) kill -TERM "${schedulers[$index]}" ;;
    2)
      kill -STOP "${schedulers[$index]}"
      later "$((RANDOM % 4)).$((RANDOM % 10))" kill -CONT "${schedulers[$index]}"
      ;;
    3) kill -HUP "${schedulers[$index]}" ;;
  esac
}

platform_fault() {
  local kind
  pick "$platform_fault_kinds"
  kind=$picked
  note "platform fault $kind"
  case $kind in
    0) set_platform "refused=0.5" && later 1 set_platform "refused=0" ;;
    1) set_platform "lost=0.3" && later 1 set_platform "lost=0" ;;
    2) set_platform "forget=1" ;;
    3) set_platform "deal=1" ;;
    4) set_platform "restart=$((RANDOM % executors_count))" ;;
    5) change_manifest ;;
  esac
}

change_manifest() {
  manifest_version=$((manifest_version + 1))
  set_platform "config=$manifest_version"
}

# Several signals, restarts and changes within a few tenths of a second, to any schedulers and often
# to one more than once.
fault_series() {
  local length=$((3 + RANDOM % 5))
  note "series of $length"
  for _ in $(seq "$length"); do
    pick 4
    case $picked in
      0) change_manifest ;;
      1) pick "$links_count" && link_fault "$picked" ;;
      *) scheduler_fault ;;
    esac
    sleep "0.0$((RANDOM % 10))"
  done
}

heal() {
  for i in $(seq 0 $((links_count - 1))); do
    set_link "link=$i&delay=0&to=open&from=open"
  done
  set_platform "refused=0&lost=0"
  for i in $(seq 0 $((schedulers_count - 1))); do
    kill -CONT "${schedulers[$i]}" 2>/dev/null || true
    is_running "$i" || restart_scheduler "$i"
  done
}

fail() {
  mkdir -p "${SOAK_LOGS:-/tmp/soak-logs}"
  cp -r "$work" "${SOAK_LOGS:-/tmp/soak-logs}/seed-$seed"
  echo "soak seed $seed failed; logs in ${SOAK_LOGS:-/tmp/soak-logs}/seed-$seed"
  exit 1
}

# Another process may have taken a port meanwhile.
restart_if_port_was_taken() {
  if grep -qs "cannot listen\|can't listen" "$work"/*.log && [ "${SOAK_TRIES:-0}" -lt 3 ]; then
    stop_all
    SOAK_TRIES=$((${SOAK_TRIES:-0} + 1)) exec "$0" "$build" "$seed" "$seconds"
  fi
}

start_links
start_schedulers "$schedulers_count" 2>"$work/start.log" || {
  restart_if_port_was_taken
  cat "$work/start.log"
  exit 1
}
flags=()
for front in "${fronts[@]}"; do
  flags+=(--front "$front")
done
"$build/Tests/soak-callers" "${flags[@]}" --platform "$store" --seed "$seed" \
  --seconds "$seconds" >"$work/callers.log" 2>&1 &
callers_process=$!

end=$((SECONDS + seconds))
while [ "$SECONDS" -lt "$end" ]; do
  sleep "0.$((RANDOM % 8 + 1))"
  pick 10
  if [ "$seed" -ge "$first_seed_with_series" ] && [ "$picked" -eq 0 ]; then
    fault_series
  elif [ "$picked" -lt 5 ]; then
    pick "$links_count"
    link_fault "$picked"
  elif [ "$picked" -lt 8 ]; then
    scheduler_fault
  else
    platform_fault
  fi
done
# What ends later by itself may do harm once more.
sleep 4
heal
wait "$callers_process" || {
  cat "$work/callers.log"
  fail
}
echo "soak seed $seed: $(head -n 1 "$work/callers.log")"
