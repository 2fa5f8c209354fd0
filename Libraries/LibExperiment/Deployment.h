#pragma once

#include "LibEntry/EntryHost.h"
#include "LibExperiment/FakeWorkers.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

// Entry hosts on their real decision code, with small fakes of the log and of executors around
// them, in one thread and on a time that is an argument. The same seed gives the same run.
namespace sesameseam {

struct FakeLog
{
  std::vector<LogEntry> mEntries;
  Offset mEnd = 0;
  bool mOutage = false;
  // The share of appends whose answer is lost after they took effect.
  double mLoseAnswers = 0.0;
  Duration mDelay = 2ms;
  std::int64_t mAppends = 0;
  // Older records are dropped beyond this number; 0 keeps all.
  std::size_t mRetained = 0;
};

struct FakeExecutor
{
  int mSlots = 8;
  int mRunning = 0;
  int mMostRunning = 0;
  // Starts beyond the slots.
  std::int64_t mOvercommits = 0;
  bool mDead = false;
  bool mFailAll = false;
  double mSlowness = 1.0;
  // The share of attempts that run, but whose answer is lost.
  double mLoseAnswers = 0.0;
  Duration mBusy = Duration::zero();
  int mReboots = 0;
  // Requests that ran when the host was rebooted.
  std::int64_t mCut = 0;
};

struct EntryNode
{
  EntryHost mHost;
  MemberName mName;
  int mIncarnation = 0;
  bool mAlive = true;
  // Events that fall due while the process is paused are handled at its end.
  TimePoint mPausedUntil;
  bool mReadsLog = true;
};

struct GivenAnswer
{
  Outcome mOutcome;
  TimePoint mAt;
  // More than one answer to a request is a fault.
  int mCount = 0;
};

struct DeploymentSettings
{
  int mEntryHosts = 3;
  std::uint64_t mSeed = 1;
  Duration mTickInterval = 20ms;
  Duration mReportInterval = 100ms;
  Duration mLogReadInterval = 100ms;
  // One way, between entry hosts and to executors.
  Duration mNetworkDelay = 500us;
  Duration mRebootTime = 30s;
  // Changes the settings of each entry host before it starts.
  std::function<void(ControlSettings&, ServeSettings&)> mTune;
};

struct ScheduledWork
{
  TimePoint mAt;
  std::int64_t mOrder = 0;
  std::function<void()> mWork;
};

struct LaterFirst
{
  bool operator()(const ScheduledWork& aLeft, const ScheduledWork& aRight) const
  {
    return std::tie(aLeft.mAt, aLeft.mOrder) > std::tie(aRight.mAt, aRight.mOrder);
  }
};

struct Deployment
{
  DeploymentSettings mSettings;
  TimePoint mNow;
  std::mt19937_64 mRandom;
  std::vector<EntryNode> mNodes;
  FakeLog mLog;
  std::map<HostName, FakeExecutor> mExecutors;
  std::map<HostName, std::int64_t> mBoots;
  FakeWorkers mWorkers;
  std::map<RequestId, GivenAnswer> mAnswers;
  // Requests under way at a peer, and where their outcome goes.
  std::map<RequestId, std::function<void(const Outcome&)>> mForwards;
  // Runs of each key, or of each request where it has no key.
  std::map<std::string, int> mRuns;
  // The time from the arrival of each request to its first start.
  std::map<RequestId, TimePoint> mStarted;
  std::vector<Decision> mDecisions;
  std::int64_t mMessages = 0;
  std::int64_t mNextId = 1;
  std::int64_t mNextOrder = 0;
  std::priority_queue<ScheduledWork, std::vector<ScheduledWork>, LaterFirst> mAgenda;
  // True where the two nodes cannot reach each other.
  std::function<bool(std::size_t, std::size_t)> mIsCut;
  std::function<void(const RequestId&, const GivenAnswer&)> mOnAnswer;
};

// The deployment must stay where it is while it runs.
void
StartDeployment(Deployment& aDeployment, const DeploymentSettings& aSettings);

void
Schedule(Deployment& aDeployment, TimePoint aAt, std::function<void()> aWork);
void
RunUntil(Deployment& aDeployment, TimePoint aEnd);

// Sends a request to a node. Its body is its run time in microseconds. A dead node answers
// nothing, as for a caller whose connection breaks.
RequestId
Submit(Deployment& aDeployment, std::size_t aNode, Request aRequest);

// Appends an operator's change through a node.
RecordId
ChangeBy(Deployment& aDeployment,
         std::size_t aNode,
         const std::string& aOperator,
         std::optional<Offset> aBasedOn,
         Change aChange);

void
KillNode(Deployment& aDeployment, std::size_t aNode);
void
RestartNode(Deployment& aDeployment, std::size_t aNode);
void
PauseNode(Deployment& aDeployment, std::size_t aNode, Duration aDuration);

// Defines a pool with one preset and puts hosts with eight slots into it.
void
AddPool(Deployment& aDeployment, const PoolName& aPool, int aHosts, Duration aAttemptTimeout = 10s);

}
