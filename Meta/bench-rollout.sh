#!/usr/bin/env bash
# Measures how soon changes are in force on nine entry hosts, with the log slow, losing answers
# and out. The last line is one JSON object. The baseline is the time until a change is accepted,
# without the wait for it to be in force.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build}
seed=1
[ "${1:-}" = --seed ] && seed=$2
. Meta/processes.sh
sesameseam=$build/Utilities/sesameseam
changes=${ROLLOUT_CHANGES:-40}
outage=${ROLLOUT_OUTAGE:-8}

start_platform 4 --seed "$seed"
start_executors 4
start_entry_hosts 9
"$sesameseam" pool define Examples/pool-previews.json >"$work/setup"
add_hosts previews 1 4 >>"$work/setup"

faults() { http "$platform" POST /control "$1" >/dev/null; }
milliseconds() { echo $(($(date +%s%N) / 1000000)); }

chosen=()
times=()
lost=0

# Makes one change and notes the time until it is in force on every member.
change() { # change NUMBER
  local preset=ordinary begin end
  [ $(($1 % 2)) -eq 0 ] && preset=peak
  begin=$(milliseconds)
  if "$sesameseam" --wait preset choose previews "$preset" >"$work/change" 2>&1; then
    end=$(milliseconds)
    times+=($((end - begin)))
    chosen+=("$preset")
    [ $((end - begin)) -lt 2000 ] || echo "change $1 took $((end - begin)) ms" >&2
  else
    cat "$work/change" >&2
    lost=$((lost + 1))
  fi
}

p() { # p SHARE TIMES...: the value that this share of the times does not exceed, in seconds
  local share=$1
  shift
  printf '%s\n' "$@" | sort -n | awk -v share="$share" \
    '{ t[NR] = $1 } END { i = int(NR * share + 0.999999); printf "%.3f", t[i < 1 ? 1 : i] / 1000 }'
}

# The preset in force as each entry host has it, and the version it has.
in_force() {
  for address in "${operators[@]}"; do
    "$sesameseam" --entry "$address" --json status |
      grep -o '"in_force":"[a-z]*","version":[0-9]*' | tail -n 1
  done
}

# Counts entry hosts whose version fell or whose preset is not the last one chosen.
reverted=0
versions=()
check() {
  local index=0 line version
  while read -r line; do
    version=${line##*:}
    [ "$version" -lt "${versions[$index]:--1}" ] && reverted=$((reverted + 1))
    versions[$index]=$version
    grep -q "\"${chosen[-1]}\"" <<<"$line" || reverted=$((reverted + 1))
    index=$((index + 1))
  done < <(in_force)
  [ "$index" -eq 9 ] || reverted=$((reverted + 9 - index))
}

for i in $(seq "$changes"); do change "$i"; done
plain=("${times[@]}")
check

times=()
for i in $(seq 10); do
  begin=$(milliseconds)
  "$sesameseam" preset choose previews ordinary >"$work/change"
  times+=($(($(milliseconds) - begin)))
  chosen+=(ordinary)
done
accepted_times=("${times[@]}")
sleep 1
check

times=()
faults '{"slow_by":"200ms"}'
for i in $(seq $((changes / 4))); do change "$i"; done
slow=("${times[@]}")
check

times=()
faults '{"lose_answers":0.3}'
for i in $(seq $((changes / 2))); do change "$i"; done
losing=("${times[@]}")
check

# A change that is asked for in the outage comes into force after its end, or is refused; one
# entry host is killed and replaced meanwhile.
faults '{"outage":true}'
kill -KILL "${entry_processes[8]}"
start_entry_host 8 '"peers": ["'"${peers[0]}"'", "'"${peers[1]}"'"]'
"$sesameseam" --wait preset choose previews peak >"$work/outage" 2>&1 &
asked=$!
processes+=("$asked")
sleep "$outage"
check
begin=$(milliseconds)
faults '{}'
wait_ready "${callers[8]}"
times=()
wait "$asked" && chosen+=(peak) || true
times+=($(($(milliseconds) - begin)))
after=("${times[@]}")
change 1
check
accepted=$("$sesameseam" --json audit | grep -o '"kind":"preset-chosen"[^}]*"accepted":true' | wc -l)
expected=${#chosen[@]}
[ "$accepted" -eq "$expected" ] || lost=$((lost + (accepted > expected ? accepted - expected : expected - accepted)))

printf '{"name":"rollout","seed":%d,"baseline":{"accepted_p99_s":%s},"chosen":{"in_force_p50_s":%s,"in_force_p99_s":%s,"slow_log_p99_s":%s,"losing_answers_p99_s":%s,"after_outage_s":%s,"reverted":%d,"lost":%d,"changes":%d}}\n' \
  "$seed" "$(p 0.99 "${accepted_times[@]}")" "$(p 0.5 "${plain[@]}")" "$(p 0.99 "${plain[@]}")" \
  "$(p 0.99 "${slow[@]}")" "$(p 0.99 "${losing[@]}")" "$(p 0.99 "${after[@]}")" \
  "$reverted" "$lost" "$expected"
