#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <utility>

namespace sesameseam {

// The type of every failure. The text that goes with it is for people only.
enum class ErrorKind
{
  None,
  BadJson,
  BadField,
  BadSettings,
  UnknownPool,
  UnknownPreset,
  UnknownHost,
  UnknownMaintenance,
  UnknownJob,
  StaleVersion,
  HostInOtherPool,
  PoolNotEmpty,
  BadState,
  RecordUnreadable,
  LogUnavailable,
  LogAnswerLost,
  PeerUnavailable,
  WrongDeployment,
  ConnectionRefused,
  ConnectionBroken,
  DeadlineExceeded,
  TooLarge,
  NotAuthorized,
  Internal,
};

std::string_view
NameOf(ErrorKind aKind);

absl::Status
MakeError(ErrorKind aKind, std::string_view aDetail);

// Gives ErrorKind::Internal for a status that this project did not make.
ErrorKind
KindOf(const absl::Status& aStatus);

namespace detail {

inline absl::Status
StatusOf(absl::Status aStatus)
{
  return aStatus;
}

template<typename T>
absl::Status
StatusOf(const absl::StatusOr<T>& aResult)
{
  return aResult.status();
}

inline void
Take(const absl::Status&)
{
}

template<typename T>
T
Take(absl::StatusOr<T>&& aResult)
{
  return std::move(aResult).value();
}

}
}

// Gives the value of a StatusOr, or returns its error from the enclosing function.
#define TRY(expression)                                                                            \
  ({                                                                                               \
    auto detailResult = (expression);                                                              \
    if (!detailResult.ok()) {                                                                      \
      return ::sesameseam::detail::StatusOf(detailResult);                                         \
    }                                                                                              \
    ::sesameseam::detail::Take(std::move(detailResult));                                           \
  })
