#pragma once

#include "LibBase/Json.h"
#include "LibBase/Time.h"

#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace sesameseam {

// The result of a request as reported to its caller. Every request gets exactly one of these kinds.
enum class OutcomeKind
{
  // The target's complete response.
  Answered,
  // The request did not run and never will.
  NotRun,
  // The request may have run.
  Unknown,
};

template<>
struct EnumNames<OutcomeKind>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, OutcomeKind>{ "answered", OutcomeKind::Answered },
    std::pair<std::string_view, OutcomeKind>{ "not-run", OutcomeKind::NotRun },
    std::pair<std::string_view, OutcomeKind>{ "unknown", OutcomeKind::Unknown },
  };
};

enum class OutcomeReason
{
  None,
  // The queue is full, or the predicted wait exceeds the deadline.
  Overloaded,
  DeadlinePassed,
  NoTarget,
  UnknownPool,
  // The key cannot be claimed because the log is unreachable.
  LogUnavailable,
  // The entry host cannot confirm that its configuration is current.
  ViewStale,
  Stopping,
  // Another try with the same key is running or may have run.
  KeyTaken,
  // The target's response did not arrive completely.
  AttemptLost,
  TargetFailed,
};

template<>
struct EnumNames<OutcomeReason>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, OutcomeReason>{ "none", OutcomeReason::None },
    std::pair<std::string_view, OutcomeReason>{ "overloaded", OutcomeReason::Overloaded },
    std::pair<std::string_view, OutcomeReason>{ "deadline-passed", OutcomeReason::DeadlinePassed },
    std::pair<std::string_view, OutcomeReason>{ "no-target", OutcomeReason::NoTarget },
    std::pair<std::string_view, OutcomeReason>{ "unknown-pool", OutcomeReason::UnknownPool },
    std::pair<std::string_view, OutcomeReason>{ "log-unavailable", OutcomeReason::LogUnavailable },
    std::pair<std::string_view, OutcomeReason>{ "view-stale", OutcomeReason::ViewStale },
    std::pair<std::string_view, OutcomeReason>{ "stopping", OutcomeReason::Stopping },
    std::pair<std::string_view, OutcomeReason>{ "key-taken", OutcomeReason::KeyTaken },
    std::pair<std::string_view, OutcomeReason>{ "attempt-lost", OutcomeReason::AttemptLost },
    std::pair<std::string_view, OutcomeReason>{ "target-failed", OutcomeReason::TargetFailed },
  };
};

struct Outcome
{
  OutcomeKind mKind = OutcomeKind::NotRun;
  OutcomeReason mReason = OutcomeReason::None;
  // The target's HTTP status if the request was answered.
  int mStatus = 0;
  std::string mBody;
  // The delay after which to retry if the request was not answered.
  Duration mRetryAfter = Duration::zero();
};

// The result of one attempt to run a request.
enum class AttemptEnd
{
  // A complete response that belongs to this request.
  Answered,
  // Nothing reached the target: the connection was refused, or a peer declined.
  NotSent,
  // The target responded with an error of its own.
  Failed,
  // No complete response was received; the target may have run the request.
  Lost,
};

struct AttemptResult
{
  AttemptEnd mEnd = AttemptEnd::Lost;
  int mStatus = 0;
  std::string mBody;
  // The reason given by a peer that declined.
  OutcomeReason mReason = OutcomeReason::None;
};

}
