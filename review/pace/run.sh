#!/usr/bin/env bash
# The scheduler that has slowed a task down to 0 percent is stopped as planned. Whoever takes over has to let the
# task work again once the tasks beside it are far below their target.
. "$(dirname "$0")/../lib.sh"

host=pule25.example
pools=(batik)
start_platform 3 i-0001,batik,8000,64000 i-0002,batik,8000,64000
put_manifest 3 puxa=batik
for index in 0 1 2; do start_scheduler $index; done
for index in 0 1 2; do wait_ready $index; done

# On each executor a task that serves, with a target of 100 ms; its tail is 40 ms alone.
submit puxa 00000000000000f1 '{"spec":"serves","steps":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":900,"daemon":true,"antiAffinity":1,"targetMs":100,"image":"web"}]}'
wait_state puxa 00000000000000f1 running 10 || finish 2 "the job that serves does not run"
sleep 1
control "interference?ms=6" >/dev/null
submit puxa 00000000000000f2 '{"spec":"fills 8000","steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":8000,"fills":true,"image":"batch"}]}'
for _ in $(seq 200); do
  pace=$(control "where?job=00000000000000f2" | head -n 1 | cut -d' ' -f3)
  [ "$pace" = 0 ] && break
  sleep 0.05
done
[ "$pace" = 0 ] || finish 2 "the task that fills is not slowed down to 0 percent"
# partition 1 is the one of batik.
owner=$(control "owner?part=1")
owner=${owner#edge-}
owner=${owner%%/*}
[ -n "$owner" ] || finish 2 "nobody owns the shard"
if [ "$trouble" = 1 ]; then
  note "scheduler $owner, the owner, is stopped by SIGTERM"
  kill -TERM "${schedulers[$owner]}"
fi
# The disturbance of tasks by one another changes within seconds.
control "interference?ms=0" >/dev/null
if [ "$trouble" = 1 ]; then
  # graceS is 6.
  for _ in $(seq 60); do
    is_running "$owner" || break
    sleep 0.1
  done
  is_running "$owner" && finish 2 "scheduler $owner does not stop"
  start_scheduler "$owner"
fi
for second in $(seq 45); do
  sleep 1
  call "${fronts[0]}" GET /puxa/00000000000000f2
  [[ $body == *completed* ]] && finish 0 "held: the task that fills is done after $second s"
done
at=$(control "where?job=00000000000000f2" | head -n 1)
finish 1 "45 s after the change of the owner the task still stands at 0 percent ($at), the tail beside it is 40 ms of 100 ms, and the job is shown as $body"
