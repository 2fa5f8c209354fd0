#pragma once

#include "LibSchedule/Dependency.h"

#include <map>
#include <optional>
#include <set>

// Follows what others write to the log: the operator's manifest and waves, and the list of
// executors.
namespace sesameseam::schedule {

struct FollowedStream
{
  Stream mStream = Stream::Operator;
  std::int64_t mPosition = 0;
  // Whether the newest records were read, so that only changes are missing.
  bool mLoaded = false;
  bool mInFlight = false;
  std::string mPageKey;
  std::int64_t mPagedEnd = -1;
  std::set<ExecutorId> mListed;
  Dependency mDependency;
  Instant mNextReadAt;
  Instant mAnsweredAt;
};

struct Follower
{
  FollowedStream mOperator{ Stream::Operator };
  FollowedStream mExecutorList{ Stream::Executors };
  std::optional<Manifest> mManifest;
  Instant mManifestAt;
  std::map<std::int64_t, Wave> mWaves;
  std::map<ExecutorId, ExecutorEntry> mExecutors;
};

struct FollowerChanges
{
  bool mManifest = false;
  // Executors whose entries have changed.
  std::vector<ExecutorId> mExecutors;
};

FollowerChanges
OnFollowerRead(Follower& aFollower, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions);
FollowerChanges
OnFollowerReadNewest(Follower& aFollower,
                     const Now& aNow,
                     const ReadNewestAnswer& aAnswer,
                     Actions& aActions);

// The list of executors is read only where aNeedsExecutors says so.
void
AdvanceFollower(Follower& aFollower, const Now& aNow, bool aNeedsExecutors, Actions& aActions);

// The route with the longest prefix of the path, among those of the host.
const Route*
FindRoute(const Manifest& aManifest, const std::string& aHost, const std::string& aPath);

}
