#!/usr/bin/env bash
# Runs the whole path as separate processes, kills an entry host in the midst, and shows what
# came of every request. With --keep all stays up until Enter or the end of the input.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=false
[ "${1:-}" = --keep ] && keep=true
Meta/install-packages.sh
Meta/build.sh >/dev/null
build=${BUILD_DIRECTORY:-build}
. Meta/processes.sh

start_platform 9
start_executors 9
start_entry_hosts 3
sesameseam=$build/Utilities/sesameseam
echo "== pools and hosts"
for pool in previews listings office; do
  "$sesameseam" pool define "Examples/pool-$pool.json"
done
add_hosts previews 1 3
add_hosts listings 4 6
add_hosts office 7 9
"$sesameseam" --wait preset choose previews peak

echo "== requests, with a host in maintenance and an entry host killed in the midst"
"$build/Utilities/sesameseam-load" Examples/requests.json --each --rate 80 --seed 7 \
  --entry "$(join_by_comma "${callers[@]}")" \
  --executor "$(join_by_comma "${executors[@]}")" >"$work/load.txt" &
load=$!
sleep 1
"$sesameseam" maintenance declare kernel-update h2
sleep 1
kill -KILL "${entry_processes[2]}"
echo "killed entry host e3"
held=0
wait "$load" || held=$?
cat "$work/load.txt"

echo "== status"
"$sesameseam" status
echo "== audit trail"
"$sesameseam" audit
if $keep; then
  echo "== running: callers ${callers[*]}"
  echo "   platform $platform, executors ${executors[*]}"
  echo "   export SESAMESEAM_ENTRY=$SESAMESEAM_ENTRY SESAMESEAM_TOKEN_FILE=$SESAMESEAM_TOKEN_FILE"
  read -r _ || true
fi
[ "$held" -eq 0 ] && echo "every request has one outcome; none was doubled; none ran that was told not run"
exit "$held"
