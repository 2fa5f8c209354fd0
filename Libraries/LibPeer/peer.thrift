// What entry hosts of one deployment say to each other.
// The C++ code in Generated/ is made by Meta/generate-thrift.sh.
namespace cpp sesameseam.wire

struct Slot {
  1: string host
  2: i32 index
}

struct PoolLoad {
  1: string pool
  2: i64 version
  3: i32 freeSlots
  4: i32 queued
  // Slots that have another home, but that the sender may still use.
  5: list<Slot> slotsInUse
}

struct Report {
  1: string deployment
  2: string member
  3: string incarnation
  // The offset of the last record folded, and of the last change of the configuration.
  4: i64 applied
  5: i64 version
  6: list<PoolLoad> loads
}

struct ForwardCall {
  1: string deployment
  2: string requestId
  3: string pool
  4: i32 requestClass
  5: string team
  6: string kind
  7: i64 timeoutMicroseconds
  8: bool idempotent
  9: string key
  10: i64 declaredRunTimeMicroseconds
  11: binary body
  12: bool mayQueue
}

struct ForwardReply {
  1: string requestId
  // An Outcome, by the name of its kind and reason.
  2: string outcome
  3: string reason
  4: i32 status
  5: binary body
  6: i64 retryAfterMicroseconds
}

struct LogEntry {
  1: i64 offset
  2: binary text
}

struct CatchUpCall {
  1: string deployment
  // The offset of the first record that the caller lacks.
  2: i64 first
}

struct CatchUpReply {
  1: string deployment
  2: i64 applied
  // The records, where the receiver still has them; else the whole state and its hash.
  3: list<LogEntry> entries
  4: binary state
  5: string hash
}

exception WrongDeployment {
  1: string deployment
}

service Peer {
  // Takes the sender's report and gives the receiver's.
  Report exchange(1: Report report) throws (1: WrongDeployment wrong)

  // Gives what the receiver knows beyond the caller.
  CatchUpReply catchUp(1: CatchUpCall call) throws (1: WrongDeployment wrong)

  // Runs the request on a slot of the receiver's, or declines.
  ForwardReply forward(1: ForwardCall call) throws (1: WrongDeployment wrong)
}
