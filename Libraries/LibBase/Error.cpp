#include "LibBase/Error.h"

#include <absl/strings/cord.h>
#include <array>

namespace sesameseam {

namespace {

absl::string_view
PayloadUrl()
{
  return "sesameseam/error-kind";
}

struct KindEntry
{
  ErrorKind mKind;
  std::string_view mName;
  absl::StatusCode mCode;
};

constexpr std::array kKinds = {
  KindEntry{ ErrorKind::None, "none", absl::StatusCode::kOk },
  KindEntry{ ErrorKind::BadJson, "bad-json", absl::StatusCode::kInvalidArgument },
  KindEntry{ ErrorKind::BadField, "bad-field", absl::StatusCode::kInvalidArgument },
  KindEntry{ ErrorKind::BadSettings, "bad-settings", absl::StatusCode::kInvalidArgument },
  KindEntry{ ErrorKind::UnknownPool, "unknown-pool", absl::StatusCode::kNotFound },
  KindEntry{ ErrorKind::UnknownPreset, "unknown-preset", absl::StatusCode::kNotFound },
  KindEntry{ ErrorKind::UnknownHost, "unknown-host", absl::StatusCode::kNotFound },
  KindEntry{ ErrorKind::UnknownMaintenance, "unknown-maintenance", absl::StatusCode::kNotFound },
  KindEntry{ ErrorKind::UnknownJob, "unknown-job", absl::StatusCode::kNotFound },
  KindEntry{ ErrorKind::StaleVersion, "stale-version", absl::StatusCode::kAborted },
  KindEntry{ ErrorKind::HostInOtherPool,
             "host-in-other-pool",
             absl::StatusCode::kFailedPrecondition },
  KindEntry{ ErrorKind::PoolNotEmpty, "pool-not-empty", absl::StatusCode::kFailedPrecondition },
  KindEntry{ ErrorKind::BadState, "bad-state", absl::StatusCode::kFailedPrecondition },
  KindEntry{ ErrorKind::RecordUnreadable, "record-unreadable", absl::StatusCode::kDataLoss },
  KindEntry{ ErrorKind::LogUnavailable, "log-unavailable", absl::StatusCode::kUnavailable },
  KindEntry{ ErrorKind::LogAnswerLost, "log-answer-lost", absl::StatusCode::kUnknown },
  KindEntry{ ErrorKind::PeerUnavailable, "peer-unavailable", absl::StatusCode::kUnavailable },
  KindEntry{ ErrorKind::WrongDeployment, "wrong-deployment", absl::StatusCode::kPermissionDenied },
  KindEntry{ ErrorKind::ConnectionRefused, "connection-refused", absl::StatusCode::kUnavailable },
  KindEntry{ ErrorKind::ConnectionBroken, "connection-broken", absl::StatusCode::kUnknown },
  KindEntry{ ErrorKind::DeadlineExceeded,
             "deadline-exceeded",
             absl::StatusCode::kDeadlineExceeded },
  KindEntry{ ErrorKind::TooLarge, "too-large", absl::StatusCode::kResourceExhausted },
  KindEntry{ ErrorKind::NotAuthorized, "not-authorized", absl::StatusCode::kUnauthenticated },
  KindEntry{ ErrorKind::Internal, "internal", absl::StatusCode::kInternal },
};

const KindEntry&
EntryOf(ErrorKind aKind)
{
  for (const auto& entry : kKinds) {
    if (entry.mKind == aKind) {
      return entry;
    }
  }
  return kKinds.back();
}

}

std::string_view
NameOf(ErrorKind aKind)
{
  return EntryOf(aKind).mName;
}

absl::Status
MakeError(ErrorKind aKind, std::string_view aDetail)
{
  const auto& entry = EntryOf(aKind);
  absl::Status status(entry.mCode, absl::string_view(aDetail.data(), aDetail.size()));
  status.SetPayload(PayloadUrl(), absl::Cord(std::string(entry.mName)));
  return status;
}

ErrorKind
KindOf(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return ErrorKind::None;
  }
  auto payload = aStatus.GetPayload(PayloadUrl());
  if (!payload) {
    return ErrorKind::Internal;
  }
  for (const auto& entry : kKinds) {
    if (*payload == std::string(entry.mName)) {
      return entry.mKind;
    }
  }
  return ErrorKind::Internal;
}

}
