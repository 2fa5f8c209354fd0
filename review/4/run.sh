#!/usr/bin/env bash
# An executor that runs members of a gang with checkpoints crashes once. The gang has to start again,
# all members with the same checkpoint, and to be done.
trouble=${TROUBLE:-1}
record=$(cd "$(dirname "$0")" && pwd)/record.txt
. "$(dirname "$0")/../lib.sh"

host=pule25.example
pools=(batik)
executors=()
for number in 1 2 3 4 5 6 7; do executors+=("i-000$number,batik,2000,64000"); done
start_platform 3 "${executors[@]}"
put_manifest 3 puxa=batik
for index in 0 1 2; do start_scheduler $index; done
for index in 0 1 2; do wait_ready $index; done

id=00000000000000a6
submit puxa $id '{"spec":"gang 4 8000","steps":[{"count":4,"cpu":1000,"memMb":64,"estimateMs":8000,"gang":true,"checkpoint":true}]}'
sleep 5
place=$(control "where?job=$id" | tail -n 2 | head -n 1 | cut -d' ' -f1)
[ -n "$place" ] || finish 2 "the gang does not run"
# It is back, as the same executor, after 2 s.
[ "$trouble" = 1 ] && control "crash?executor=$place&ms=2000" >/dev/null
for second in $(seq 35); do
  sleep 1
  call "${fronts[0]}" GET "/puxa/$id"
  [[ $body == *completed* ]] && break
done
alone=$(grep -c "end $id.* alone" "$record")
note "$alone runs ended alone; after $second s the job is shown as $body"
[ "$alone" -gt 0 ] && finish 1 "$alone runs ended alone; $second s after the crash the job is shown as $body"
[[ $body == *completed* ]] || finish 1 "the job is not completed"
finish 0 "held: completed after $second s"
