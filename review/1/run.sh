#!/usr/bin/env bash
# An entry that can't be read is written to the list of executors. Accepted jobs must still be done,
# and no scheduler may end by itself.
trouble=${TROUBLE:-1}
record=$(cd "$(dirname "$0")" && pwd)/record.txt
. "$(dirname "$0")/../lib.sh"

host=pule25.example
pools=(batik)
start_platform 3 i-0001,batik,8000,64000 i-0002,batik,8000,64000 i-0003,batik,8000,64000
put_manifest 3 puxa=batik
for index in 0 1 2; do start_scheduler $index; done
for index in 0 1 2; do wait_ready $index; done

job='{"spec":"1000","steps":[{"count":3,"cpu":1000,"memMb":64,"estimateMs":1000},{"count":3,"cpu":1000,"memMb":64,"estimateMs":1000,"after":[0]}]}'
submit puxa 00000000000000a1 "$job"
wait_state puxa 00000000000000a1 completed 20 || finish 2 "the first job is not completed"

submit puxa 00000000000000a2 "$job"
if [ "$trouble" = 1 ]; then
  # 200,000 bytes that are no JSON, from another writer. A record may have 262,144.
  control "put?topic=keyed.servers&key=i-0009" "$(head -c 200000 /dev/zero | tr '\0' '[')" >/dev/null
fi
# A process that ends is started again, as the platform does.
ended=0
until=$(($(date +%s) + 30))
while [ "$(date +%s)" -lt "$until" ]; do
  for index in 0 1 2; do
    if ! is_running $index; then
      ended=$((ended + 1))
      note "scheduler $index has ended by itself"
      start_scheduler $index
    fi
  done
  sleep 0.5
done
completed=0
wait_state puxa 00000000000000a2 completed 5 && completed=1
note "$ended ends of schedulers, $completed of 1 accepted job completed"
[ "$ended" -gt 0 ] && finish 1 "schedulers ended by themselves $ended times; job a2 completed: $completed"
[ "$completed" = 1 ] || finish 1 "the accepted job is not completed after 30 s"
finish 0 "held"
