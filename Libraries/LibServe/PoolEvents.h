#pragma once

#include "LibServe/Outcome.h"
#include "LibServe/PoolView.h"
#include "LibServe/Request.h"
#include "LibServe/SlotMap.h"

#include <optional>
#include <set>
#include <variant>

// What happens to the serving of one pool, and what it wants done.
namespace sesameseam {

using AttemptId = std::int64_t;

struct RequestArrived
{
  RequestPointer mRequest;
};

// The caller went away. What has not started will not start.
struct RequestAbandoned
{
  RequestId mRequest;
};

struct AttemptEnded
{
  AttemptId mAttempt = 0;
  AttemptResult mResult;
};

enum class ClaimDecision
{
  Granted,
  // Another try holds the key and has no result yet.
  Held,
  // The result of the try that holds the key is known.
  Ended,
  // The log did not take the claim; it never will count.
  Failed,
};

struct ClaimDecided
{
  RequestId mRequest;
  ClaimDecision mDecision = ClaimDecision::Failed;
  // The recorded outcome, where the verdict is Ended.
  Outcome mOutcome;
};

struct ViewChanged
{
  PoolView mView;
};

// The configuration of this entry host was current at this time.
struct ViewConfirmed
{
  TimePoint mAt;
};

using ClassWaits = std::array<Duration, kRequestClassCount>;

// What a peer last said about its part of the pool.
struct PeerLoadReported
{
  MemberName mMember;
  TimePoint mAt;
  std::int64_t mVersion = -1;
  int mFreeSlots = 0;
  int mQueued = 0;
  // How long a request of each class would wait there; empty where the peer has no slots.
  std::optional<ClassWaits> mWaits;
  // Slots that have another home at that version, but that the peer may still use.
  std::set<SlotId> mSlotsInUse;
};

// The outcome of a request that does not run here and whose key was not looked up in the log: an
// earlier try with the key may have run.
inline OutcomeKind
OutcomeKindWithoutDecision(const Request& aRequest)
{
  return aRequest.mTry > aRequest.mTriesNotRun + 1 ? OutcomeKind::Unknown : OutcomeKind::NotRun;
}

struct StopRequested
{};

struct Tick
{};

using PoolEvent = std::variant<RequestArrived,
                               RequestAbandoned,
                               AttemptEnded,
                               ClaimDecided,
                               ViewChanged,
                               ViewConfirmed,
                               PeerLoadReported,
                               StopRequested,
                               Tick>;

// Send the request to a target.
struct Dispatch
{
  AttemptId mAttempt = 0;
  RequestPointer mRequest;
  TargetView mTarget;
  Duration mTimeout = Duration::zero();
};

// Send the request to a peer, which runs it on a slot of its own.
struct Forward
{
  AttemptId mAttempt = 0;
  RequestPointer mRequest;
  MemberName mMember;
  bool mMayQueue = false;
  Duration mTimeout = Duration::zero();
};

struct Answer
{
  RequestId mRequest;
  Outcome mOutcome;
};

// Append a claim of the request's key; ClaimDecided is due in return.
struct AppendClaim
{
  RequestPointer mRequest;
};

// Append how a claimed request ended.
struct EndClaim
{
  RequestPointer mRequest;
  Outcome mOutcome;
};

// Give a Tick at this time at the latest.
struct WakeAt
{
  TimePoint mAt;
};

using PoolAction = std::variant<Dispatch, Forward, Answer, AppendClaim, EndClaim, WakeAt>;

}
