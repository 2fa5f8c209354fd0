#pragma once

#include "LibDaemon/Daemon.h"
#include "LibHttp/HttpMessage.h"

namespace sesameseam {

// Traffic of one pool at one entry host. Counters start at zero when the entry host starts.
struct PoolTraffic
{
  PoolName mPool;
  std::int64_t mQueued = 0;
  std::int64_t mRunning = 0;
  std::int64_t mOwnedSlots = 0;
  std::int64_t mAccepted = 0;
  std::int64_t mRefused = 0;
  std::int64_t mAnswered = 0;
  std::int64_t mNotRun = 0;
  std::int64_t mUnknown = 0;
  std::int64_t mRetried = 0;
};

template<typename V>
void
VisitFields(V& aVisit, PoolTraffic& aLoad)
{
  aVisit("pool", aLoad.mPool);
  aVisit("queued", aLoad.mQueued);
  aVisit("running", aLoad.mRunning);
  aVisit("home_slots", aLoad.mOwnedSlots);
  aVisit("accepted", aLoad.mAccepted);
  aVisit("refused", aLoad.mRefused);
  aVisit("answered", aLoad.mAnswered);
  aVisit("not_run", aLoad.mNotRun);
  aVisit("unknown", aLoad.mUnknown);
  aVisit("retried", aLoad.mRetried);
}

// The reply to GET /load: current load of one entry host and the state of its log connection.
struct LoadReply
{
  MemberName mMember;
  bool mReady = false;
  Offset mVersion = kNoOffset;
  Duration mConfirmedAgo = Duration::zero();
  Duration mLogConfirmedAgo = Duration::zero();
  std::int64_t mAppendsFailed = 0;
  std::int64_t mReadsFailed = 0;
  std::int64_t mUnreadable = 0;
  std::vector<PoolTraffic> mPools;
};

template<typename V>
void
VisitFields(V& aVisit, LoadReply& aReply)
{
  aVisit("member", aReply.mMember);
  aVisit("ready", aReply.mReady);
  aVisit("version", aReply.mVersion);
  aVisit("confirmed_ago", aReply.mConfirmedAgo);
  aVisit("log_confirmed_ago", aReply.mLogConfirmedAgo);
  aVisit("appends_failed", aReply.mAppendsFailed);
  aVisit("reads_failed", aReply.mReadsFailed);
  aVisit("unreadable", aReply.mUnreadable);
  aVisit("pools", aReply.mPools);
}

HttpReply
ServeLoad(Daemon& aDaemon);

}
