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

// One request of a caller, as an entry host sees it.
struct Request
{
  RequestId mId;
  PoolName mPool;
  RequestClass mClass = RequestClass::Ordinary;
  TeamName mTeam;
  // What the request does, such as "preview". Run times are learnt for each kind.
  std::string mKind;
  TimePoint mDeadline;
  bool mIdempotent = true;
  // Names the request over all tries of its caller; required where it is not idempotent.
  RequestKey mKey;
  // The number of this try with the key, from 1, where its caller counts them. After a try with a
  // number is told "not run", no try with the same or a lower number runs.
  int mTry = 0;
  // The caller knows that its tries up to this number did not run.
  int mTriesNotRun = 0;
  std::optional<Duration> mDeclaredRunTime;
  std::string mBody;
  // Another entry host received the request and sent it here.
  bool mForwarded = false;
  // A forwarded request may wait here; otherwise it is refused unless a slot is free.
  bool mMayQueue = true;
};

using RequestPointer = std::shared_ptr<const Request>;

}
