#!/usr/bin/env bash
# Runs the operators' commands against a real deployment: outputs, exit codes and refusals.
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/../.."
. Meta/processes.sh
body='{"token":"t1","work":"10ms"}'
sesameseam=$build/Utilities/sesameseam

expect() { # expect EXIT TEXT COMMAND...
  local wanted=$1 text=$2 output exit=0
  shift 2
  output=$("$@" 2>&1) || exit=$?
  if [ "$exit" -ne "$wanted" ] || ! grep -qF -- "$text" <<<"$output"; then
    echo "FAILED: $* (exit $exit, wanted $wanted and '$text')"
    echo "$output"
    exit 1
  fi
}

# What comes about after a moment, and what is to be sent again after "not run".
expect_soon() { # expect_soon EXIT TEXT COMMAND...
  for _ in $(seq 100); do
    if (expect "$@") >/dev/null; then
      return 0
    fi
    sleep 0.1
  done
  expect "$@"
}

expect 0 sesameseam "$sesameseam" --version
expect 0 sesameseamd "$build/Services/sesameseamd" --version
expect 0 sesameseam-load "$build/Utilities/sesameseam-load" --version
expect 0 sesameseam-bench "$build/Utilities/sesameseam-bench" --version
expect 0 "Exit codes" "$sesameseam" --help
expect 2 "--operator" env -u SESAMESEAM_OPERATOR "$sesameseam" preset choose a b
expect 2 "--entry" "$sesameseam" --operator sari preset choose a b
expect 2 "Commands here: pool, preset" "$sesameseam" nonsense
expect 2 "Commands here: define, list" "$sesameseam" pool nonsense
expect 2 "IP number" "$sesameseam" --entry nowhere status
expect 3 "connection-refused" "$sesameseam" --entry "127.0.0.1:$(free_ports 1)" status

start_platform 3
start_executors 3
start_entry_hosts 2
expect_soon 0 "ALARMS: none" "$sesameseam" status
expect 0 "accepted as version" "$sesameseam" --wait pool define Examples/pool-previews.json
expect 0 "accepted as version" "$sesameseam" --wait pool define Examples/pool-office.json
expect 2 "cannot read" "$sesameseam" pool define "$work/none.json"
sed 's/"hosts": 2/"hosts": -2/; s/0.25/1.25/' Examples/pool-listings.json >"$work/bad.json"
expect 2 "presets[0].hosts" "$sesameseam" pool define "$work/bad.json"
expect 2 "presets[1].long_share" "$sesameseam" pool define "$work/bad.json"
expect 2 "IP number" "$sesameseam" host add h9 previews nowhere:80
expect 2 "slots" "$sesameseam" host add h9 previews 127.0.0.1:80 --slots 0
expect 2 "weight" "$sesameseam" pool quota previews solo-weavers -- -1
expect 1 "unknown-pool" "$sesameseam" preset choose nowhere peak
expect 1 "unknown-preset" "$sesameseam" preset choose previews night
echo another-credential >"$work/wrong-token"
expect 2 "not-authorized" "$sesameseam" --token-file "$work/wrong-token" preset choose previews peak
expect 2 "not-authorized" env -u SESAMESEAM_TOKEN_FILE "$sesameseam" preset choose previews peak
expect 2 "one word" "$sesameseam" --token-file Examples/requests.json preset choose previews peak
add_hosts previews 1 2 >/dev/null
add_hosts office 3 3 >/dev/null
expect 0 "peak" "$sesameseam" --wait preset choose previews peak
expect 1 "stale-version" "$sesameseam" preset choose previews ordinary --based-on 0
expect 0 "peak  IN FORCE" "$sesameseam" preset list previews
expect 0 "accepted" "$sesameseam" pool quota previews solo-weavers 2
expect 0 "team solo-weavers weight 2" "$sesameseam" pool show previews
expect 2 "there are: office previews" "$sesameseam" pool show nowhere
expect 0 "in service 2" "$sesameseam" pool list
expect 0 "\"in_force\":\"peak\"" "$sesameseam" pool list --json
expect 0 '"in_force":"peak"' "$sesameseam" --json pool list
expect 0 "in-service" "$sesameseam" host list
expect 0 "pool-short" "$sesameseam" status
expect 0 '"kind":"pool-short"' "$sesameseam" --json status
expect_soon 0 "answered, status 200" "$sesameseam" request send previews --caller "${callers[0]}" \
  --class urgent --team solo-weavers --key order-1 --body "$body"
expect_soon 0 '"outcome":"answered"' "$sesameseam" --json request send previews \
  --caller "${callers[1]}" --idempotent --body "$body"
expect 5 "X-Try must be" "$sesameseam" request send previews --caller "${callers[0]}" --key k --try x
expect 5 "Idempotency-Key is missing" "$sesameseam" request send previews --caller "${callers[0]}"
expect 5 "not-run, status 404" "$sesameseam" request send nowhere --caller "${callers[0]}" --key k
expect 2 "with its unit" "$sesameseam" request send previews --caller "${callers[0]}" --deadline 3
# Members report their versions some times a second, so that the last change may take a moment.
for _ in $(seq 100); do
  "$sesameseam" audit verify >/dev/null && break
  sleep 0.1
done
expect 0 "0 differences" "$sesameseam" audit verify
expect 0 "accepted" "$sesameseam" host move h3 previews
expect 0 "operator sari" "$sesameseam" audit
expect 0 "pool previews" "$sesameseam" audit --pool previews --by sari
[ -z "$("$sesameseam" audit --pool previews --by nobody)" ]
[ -z "$("$sesameseam" audit --pool previews --until 2000-01-01T00:00:00Z)" ]
expect 0 "entry-host-down" "$sesameseam" --entry "$SESAMESEAM_ENTRY,127.0.0.1:$(free_ports 1)" status

lacking_metric() { # the first text that the metrics lack
  for text in '# TYPE sesameseam_request_seconds summary' 'sesameseam_buffer_hosts{pool="previews"}' \
    'sesameseam_buffer_host_hours_total{pool="previews"}' 'sesameseam_roll_out_seconds_count' \
    'sesameseam_host_moves_total' \
    'sesameseam_request_seconds_count{pool="previews",class="urgent",outcome="answered"} 1'; do
    grep -qF -- "$text" <<<"$page" || {
      echo "$text"
      return
    }
  done
}
# Buffers are measured once a second.
for _ in $(seq 50); do
  page=$(http "${operators[0]}" GET /metrics)
  [ -z "$(lacking_metric)" ] && break
  sleep 0.1
done
[ -z "$(lacking_metric)" ] || {
  echo "FAILED: the metrics lack $(lacking_metric)"
  echo "$page"
  exit 1
}
duplicates=$(grep '^# TYPE' <<<"$page" | sort | uniq -d)
[ -z "$duplicates" ] || {
  echo "FAILED: families stand twice: $duplicates"
  exit 1
}
# Callers reach nothing of the operators at their own address.
for path in /change /status /audit /metrics /load; do
  http "${callers[0]}" GET "$path" | head -n 1 | grep -q ' 404 ' || {
    echo "FAILED: callers reach $path"
    exit 1
  }
done
echo "all commands answer as documented"
