// Records that entry hosts store in the platform's log, in Thrift's compact protocol.
namespace cpp sesameseam.schedule.record

struct Step {
  1: required i32 count,
  2: optional i32 cpu_millicores,
  3: optional i32 memory_mb,
  4: optional i32 gpus,
  5: optional i32 estimate_ms,
  6: optional list<i32> after,
  7: optional bool gang,
  8: optional bool same_rack,
  9: optional string required_label,
  10: optional string preferred_rack,
  11: optional i32 max_per_executor,
  12: optional bool speculative,
  13: optional bool lasting,
  14: optional bool fills,
  15: optional i32 max_away,
  16: optional string image,
  17: optional i32 target_tail_ms,
  18: optional bool checkpoints,
}

struct Job {
  1: required string queue,
  2: required string service_name,
  3: required string spec,
  4: required list<Step> steps,
  5: required i64 accepted_at_ms,
  6: optional i32 attempts,
  7: optional i32 priority,
  8: optional i32 stretch_percent,
  9: optional i32 response_goal_ms,
  10: optional i32 run_count,
  11: optional i64 start_time_ms,
  12: optional i64 interval_ms,
  // Absent where calls need no key, and in records of versions without tenants.
  13: optional string tenant,
  // The service that the job's queue had first, if it has another one by now.
  14: optional string home_service,
}

// A request to cancel a job, stored in the same stream as the job under a separate key.
struct Cancellation {
  1: required i64 accepted_at_ms,
}

// A task that has been started or is done, in a step that is not finished.
struct Task {
  1: required i32 occurrence,
  2: required i32 step,
  3: required i32 index,
  4: optional i32 highest_run,
  5: optional list<i32> failed_runs,
  6: optional string checkpoint,
  7: optional bool done,
  // The executors that may still have a run of the task.
  8: optional list<string> executors,
  // For each of these executors, its incarnation when the run was placed.
  9: optional list<i64> incarnations,
  // How many executors have crashed while a run of the task may have been there.
  10: optional i32 crashes,
  // The run that produced the checkpoint; absent if it is highest_run.
  11: optional i32 checkpoint_run,
  // How likely it is that as many executors would have ended without the task, between 0 and 1;
  // absent if nothing is known of that.
  12: optional double coincidence,
  // For each of the executors, whether the run is known to have begun; absent if none is.
  13: optional list<bool> begun,
}

struct FinishedStep {
  1: required i32 occurrence,
  2: required i32 step,
}

struct Progress {
  1: required i32 phase,
  2: optional list<FinishedStep> finished_steps,
  3: optional list<Task> tasks,
  // Tells whose job it is, see TenantHashOf; absent for a job without a tenant.
  4: optional i32 tenant_hash,
  // The service that runs the job, if that isn't the one that its queue had first.
  5: optional string run_by,
  // The job is stored in the partition of that service, too.
  6: optional bool forwarded,
}

// The phase of a job as callers are told it.
struct JobState {
  1: required i32 phase,
  // The queue of a job that counts as pending there; absent otherwise.
  2: optional string pending_in,
  // As in Progress.
  3: optional i32 tenant_hash,
  // The service in whose partition the state is to be looked up instead; absent if it is here.
  4: optional string run_by,
}

// Every job record before jobs_end and every progress record before progress_end is reflected in
// the job states that were stored before this record.
struct StateCoverage {
  1: required i64 jobs_end,
  2: required i64 progress_end,
}

// An unresponsive executor, and the time by which all leases on it have expired.
struct Silence {
  1: required i64 lapsed_at_ms,
}

// The state of one host in a maintenance wave.
struct Upkeep {
  1: required i32 phase,
  2: required string former_executor,
  3: optional i64 at_ms,
}

// The number of hosts that a pool wants and the number that it has.
struct PoolDemand {
  1: required i32 wanted,
  2: required i32 present,
  3: required i64 at_ms,
  // The number of hosts that could leave the pool immediately.
  4: optional i32 idle,
  // The last time at which the pool was short of hosts.
  5: optional i64 lacked_at_ms,
}

// A host that is moving from one pool to another.
struct HostMove {
  1: required string to,
  2: required i64 at_ms,
}

// The epoch with which the owner of a shard uses the shard's allotments.
struct QuotaClaim {
  1: required i64 epoch,
}

// What a shard holds of a tenant's quota, and what it wants beyond that. An absent amount is 0.
struct Allotment {
  1: optional i64 held_millicores,
  2: optional i64 held_memory_mb,
  3: optional i64 held_gpus,
  4: optional i64 wanted_millicores,
  5: optional i64 wanted_memory_mb,
  6: optional i64 wanted_gpus,
  // The end of the log when the shard began to want more.
  7: optional i64 wanted_since,
}

// What entry hosts send to one another: the calls to executors that one makes for another.

struct RunName {
  1: required string job,
  2: optional i32 occurrence,
  3: optional i32 step,
  4: optional i32 index,
  5: required i32 run,
}

struct ExecutorCall {
  1: required i64 number,
  2: required i32 kind,
  3: required string executor,
  4: required string address,
  5: required i64 epoch,
  6: optional RunName run,
  7: optional string spec,
  8: optional string checkpoint,
  9: optional i64 lease_end_ms,
  10: optional i64 wait_ms,
  11: optional i64 last_seen,
  12: optional i32 percent,
  // The process that the call is for; without it, any.
  13: optional i64 incarnation,
}

struct RunningTask {
  1: required RunName run,
  2: optional string checkpoint,
  3: optional i32 percent,
  4: optional i64 load,
}

struct TaskEnd {
  1: required i64 number,
  2: required RunName run,
  3: required i32 kind,
  4: optional string checkpoint,
}

struct ExecutorAnswer {
  1: required i64 number,
  2: required i32 result,
  // How long the answer has waited at the relay.
  3: optional i64 age_us,
  4: optional i32 refusal,
  5: optional bool fenced,
  6: optional i64 incarnation,
  7: optional i64 clock_ms,
  8: optional list<RunningTask> running,
  9: optional list<TaskEnd> ends,
  10: optional i32 unreadable,
  // The call itself was not sent, only the heartbeat that introduces a connection.
  11: optional bool of_introduction,
}

struct RelayRequest {
  1: required string owner,
  2: required i64 session,
  // The calls have no effect from this time on, by the relay's clock.
  3: required i64 expires_at_us,
  4: optional list<ExecutorCall> calls,
  // How many answers of the session the owner has received.
  5: optional i64 received,
  // When the owner decided on the first of the calls, by the relay's clock.
  6: required i64 decided_at_us,
}

struct RelayReply {
  1: required i64 clock_us,
  2: optional bool stopping,
  3: optional list<ExecutorAnswer> answers,
  // How many answers of the session come before these.
  4: optional i64 first,
  // When the relay first heard of the session, by its clock.
  5: optional i64 begun_at_us,
}
