#!/usr/bin/env bash
# A queue's route is removed and added again with another service, while a job of the queue runs.
# The job must still be known, and a repetition of its submission must not run it again.
trouble=${TROUBLE:-1}
record=$(cd "$(dirname "$0")" && pwd)/record.txt
. "$(dirname "$0")/../lib.sh"

host=pule25.example
pools=(batik tenun)
start_platform 3 i-0001,batik,8000,64000 i-0002,batik,8000,64000 i-0003,tenun,8000,64000 \
  i-0004,tenun,8000,64000
put_manifest 3 puxa=batik tije=tenun
for index in 0 1 2; do start_scheduler $index; done
for index in 0 1 2; do wait_ready $index; done

id=00000000000000b1
job='{"spec":"15000","steps":[{"count":3,"cpu":1000,"memMb":64,"estimateMs":15000}]}'
submit puxa $id "$job"
wait_state puxa $id running 10 || finish 2 "the job does not run"
sleep 3
# Without the disruption the route comes back as it was.
service=batik
[ "$trouble" = 1 ] && service=tenun
put_manifest 4 tije=tenun
sleep 1
put_manifest 6 puxa=$service tije=tenun
# configApplyMs is 2,000, visible_ms 3,000.
sleep 4
gone=0
for front in "${fronts[@]}"; do
  call "$front" GET "/puxa/$id"
  [ "$status" = 410 ] && gone=$((gone + 1))
done
# The repetition that the pages name: the same ID, seconds after the 2xx.
call "${fronts[1]}" POST "/puxa/$id" "$job"
sleep 4
twice=$(grep -c "start $id\.0\.0\.[0-9]* run 1 on" "$record")
note "$gone of 3 schedulers answered 410; $twice starts of 3 tasks"
[ "$twice" -gt 3 ] && finish 1 "$gone of 3 answers are 410 for an accepted job; its 3 tasks were started $twice times, on two services at once"
[ "$gone" -gt 0 ] && finish 1 "$gone of 3 answers are 410 for an accepted job"
finish 0 "held"
