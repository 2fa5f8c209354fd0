#include "LibDaemon/LoadApi.h"

namespace sesameseam {

namespace {

PoolTraffic
PoolTrafficOf(const PoolServer& aServer)
{
  const auto& counters = aServer.mCounters;
  PoolTraffic load;
  load.mPool = aServer.mView.mPool;
  load.mQueued = static_cast<std::int64_t>(Size(aServer.mQueue));
  load.mRunning = std::ssize(aServer.mAttempts);
  load.mOwnedSlots = std::ssize(aServer.mSlots.mOwned);
  load.mAccepted = counters.mAccepted;
  load.mRefused = counters.mRefused;
  load.mAnswered = counters.mAnswered;
  load.mNotRun = counters.mNotRun;
  load.mUnknown = counters.mUnknown;
  load.mRetried = counters.mRetried;
  return load;
}

void
FillControlFields(LoadReply& aReply, const Control& aControl, TimePoint aNow)
{
  aReply.mMember = aControl.mSettings.mSelf;
  aReply.mReady = aControl.mCaughtUp && IsMember(aControl);
  aReply.mVersion = aControl.mFleet.mVersion;
  aReply.mConfirmedAgo = ToMilliseconds(aNow - ConfirmedAt(aControl));
  aReply.mLogConfirmedAgo = ToMilliseconds(aNow - aControl.mLogConfirmed);
  aReply.mAppendsFailed = aControl.mCounters.mAppendsFailed;
  aReply.mReadsFailed = aControl.mCounters.mReadsFailed;
  aReply.mUnreadable = aControl.mFleet.mUnreadable;
}

}

HttpReply
ServeLoad(Daemon& aDaemon)
{
  LoadReply reply;
  auto now = aDaemon.Now();
  aDaemon.ReadControl([&](const Control& aControl) {
    FillControlFields(reply, aControl, now);
    return 0;
  });
  aDaemon.ReadPools(
    [&](const PoolServer& aServer) { reply.mPools.push_back(PoolTrafficOf(aServer)); });
  return JsonReply(200, ToJson(reply));
}

}
