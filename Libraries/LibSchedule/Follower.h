#pragma once

#include "LibSchedule/Authentication.h"
#include "LibSchedule/Dependency.h"

#include <map>
#include <optional>
#include <set>

// Follows the streams of the log that entry hosts do not write: the operator's manifest and waves,
// and the list of executors.
namespace sesameseam::schedule {

struct FollowerSettings
{
  // A change of the manifest must be in force this long after it was stored.
  std::chrono::milliseconds mManifestDeadline{ 2000 };
  // No call may be served this long after its key was withdrawn; empty if a host that cannot read
  // the manifest serves on by the one that it has.
  std::optional<std::chrono::milliseconds> mRevocationDeadline;
  // An executor that is draining must get no work this long after it has said so.
  std::chrono::milliseconds mDrainDeadline{ 2000 };
};

struct FollowedStream
{
  Stream mStream = Stream::Operator;
  std::int64_t mPosition = 0;
  // Whether the newest record of every key has been read, so that only later records are missing.
  bool mLoaded = false;
  bool mInFlight = false;
  std::string mPageKey;
  std::int64_t mPagedEnd = -1;
  std::set<ExecutorId> mListed;
  // Reads in a row that were not answered.
  int mUnanswered = 0;
  Dependency mDependency;
  Instant mNextReadAt;
  // When the read in flight, or the last one, was sent.
  Instant mSentAt;
  // All that was stored before this time is known.
  Instant mCurrentAsOf;
  // When the last read was sent that found nothing unread; never later than mCurrentAsOf, which
  // also counts the time that the log waited for records.
  Instant mProvenAt;
  // The same, for the load under way.
  Instant mLoadCurrentAsOf;
};

struct Follower
{
  FollowedStream mOperator{ Stream::Operator };
  FollowedStream mExecutorList{ Stream::Executors };
  std::optional<Manifest> mManifest;
  Instant mManifestAt;
  KeyIndex mKeys;
  // The manifest in force may be older than its deadline allows, and the log says so.
  bool mIsManifestUnconfirmed = false;
  std::map<std::int64_t, Wave> mWaves;
  // How many records of waves were applied.
  std::int64_t mWaveChanges = 0;
  std::map<ExecutorId, ExecutorEntry> mExecutors;
  // Keys whose record could not be decoded, and how many such records there were.
  std::set<std::string> mUnreadableKeys;
  std::int64_t mUnreadableRecords = 0;
};

struct FollowerChanges
{
  bool mManifest = false;
  // The executors whose entries have changed.
  std::vector<ExecutorId> mExecutors;
};

FollowerChanges
OnFollowerRead(Follower& aFollower, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions);
FollowerChanges
OnFollowerReadNewest(Follower& aFollower,
                     const Now& aNow,
                     const ReadNewestAnswer& aAnswer,
                     Actions& aActions);

// Sends the reads that are due. The list of executors is read only if aNeedsExecutors is set.
void
AdvanceFollower(Follower& aFollower,
                const Now& aNow,
                const FollowerSettings& aSettings,
                bool aNeedsExecutors,
                Actions& aActions);

// Returns how long ago the manifest in force was last known to be the newest; nothing before the
// operator's stream has been loaded.
std::optional<std::chrono::milliseconds>
ManifestAge(const Follower& aFollower, Instant aNow);

// Returns how long ago the read was sent that proved the manifest in force to be the newest. Every
// change that was stored before is in force.
std::optional<Duration>
ProvenAge(const Follower& aFollower, Instant aNow);

ManifestLimits
LimitsOf(const FollowerSettings& aSettings);

// Returns the route of the host with the longest prefix that matches the path, or nullptr.
const Route*
FindRoute(const Manifest& aManifest, const std::string& aHost, const std::string& aPath);

}
