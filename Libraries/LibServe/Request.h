#pragma once

#include "LibBase/Id.h"
#include "LibBase/Json.h"
#include "LibBase/Time.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace sesameseam {

enum class RequestClass
{
  Urgent,
  Ordinary,
  Long,
};

constexpr std::size_t kRequestClassCount = 3;

template<>
struct EnumNames<RequestClass>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, RequestClass>{ "urgent", RequestClass::Urgent },
    std::pair<std::string_view, RequestClass>{ "ordinary", RequestClass::Ordinary },
    std::pair<std::string_view, RequestClass>{ "long", RequestClass::Long },
  };
};

// A caller's request as received by an entry host.
struct Request
{
  RequestId mId;
  PoolName mPool;
  RequestClass mClass = RequestClass::Ordinary;
  TeamName mTeam;
  // What the request does, such as "preview". Run times are estimated separately for each kind.
  std::string mKind;
  TimePoint mDeadline;
  bool mIdempotent = true;
  // Idempotency key: identifies the request across its caller's tries. Required for requests that
  // are not idempotent.
  RequestKey mKey;
  // The number of this try with the key, starting at 1, or 0 if the caller does not number its
  // tries. Once a numbered try was answered "not run", no try with the same or a lower number runs.
  int mTry = 0;
  // The highest try number of which the caller knows that it and all lower ones did not run.
  int mTriesNotRun = 0;
  std::optional<Duration> mDeclaredRunTime;
  std::string mBody;
  // The request was forwarded by another entry host.
  bool mForwarded = false;
  // Whether a forwarded request may be queued here; otherwise it is refused unless a slot is free.
  bool mMayQueue = true;
};

using RequestPointer = std::shared_ptr<const Request>;

}
