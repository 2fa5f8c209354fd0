#pragma once

#include "LibServe/Outcome.h"
#include "LibServe/PoolView.h"
#include "LibServe/Request.h"
#include "LibServe/SlotMap.h"

#include <optional>
#include <set>
#include <variant>

// Input events and output actions of a PoolServer.
namespace sesameseam {

using AttemptId = std::int64_t;

struct RequestArrived
{
  RequestPointer mRequest;
};

// The caller has disconnected. A request that has not started is cancelled.
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
  // The try that holds the key has ended with a known result.
  Ended,
  // The log did not confirm the claim in time. The claim never takes effect, even if it is appended
  // later, because it is ended.
  Failed,
};

struct ClaimDecided
{
  RequestId mRequest;
  ClaimDecision mDecision = ClaimDecision::Failed;
  // The recorded outcome if the decision is Ended.
  Outcome mOutcome;
};

struct ViewChanged
{
  PoolView mView;
};

// The configuration of this entry host was confirmed to be current as of mAt.
struct ViewConfirmed
{
  TimePoint mAt;
};

using ClassWaits = std::array<Duration, kRequestClassCount>;

// A peer's latest load report for the pool.
struct PeerLoadReported
{
  MemberName mMember;
  TimePoint mAt;
  std::int64_t mVersion = -1;
  int mFreeSlots = 0;
  int mQueued = 0;
  // The predicted wait of a request of each class on the peer; nullopt if the peer owns no slots.
  std::optional<ClassWaits> mWaits;
  // Slots that have another owner at mVersion but that the peer may still use.
  std::set<SlotId> mSlotsInUse;
};

// The outcome of a request that does not run here and whose key was not looked up in the log: an
// earlier try with the same key may have run.
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

// Sends the request to a target.
struct Dispatch
{
  AttemptId mAttempt = 0;
  RequestPointer mRequest;
  TargetView mTarget;
  Duration mTimeout = Duration::zero();
};

// Sends the request to a peer, which runs it on one of its own slots.
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

// Appends a claim of the request's key to the log. The server expects a ClaimDecided in response.
struct AppendClaim
{
  RequestPointer mRequest;
};

// Appends the result of a claimed request to the log.
struct EndClaim
{
  RequestPointer mRequest;
  Outcome mOutcome;
};

// Requests a Tick at this time at the latest.
struct WakeAt
{
  TimePoint mAt;
};

using PoolAction = std::variant<Dispatch, Forward, Answer, AppendClaim, EndClaim, WakeAt>;

}
