#pragma once

#include "LibDaemon/Metrics.h"
#include "LibDaemon/Settings.h"
#include "LibDaemon/Waiters.h"
#include "LibEntry/Control.h"
#include "LibPeer/PeerClient.h"
#include "LibPlatform/Platform.h"
#include "LibPlatform/Target.h"
#include "LibServe/PoolServer.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <thread>
#include <vector>

namespace sesameseam {

// Carries events to the decisions of one entry host and actions from them. It decides nothing.
// The control part and each pool are shards with a lock of their own; no two locks of shards
// are held at once.
class Daemon
{
public:
  Daemon(Settings aSettings, Platform aPlatform, TargetClient aTarget);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();

  // Refuses new requests, waits for those under way, then ends the threads.
  void Stop();

  // Gives the request's one outcome. Holds the calling thread until then.
  Outcome Serve(Request aRequest);

  // Appends the change and waits until the fold has decided about it.
  absl::StatusOr<Decision> ChangeConfiguration(Record aRecord, Duration aTimeout);

  PeerReport ExchangeReports(const PeerReport& aReport);

  // What a peer lacks that is to fold this offset next.
  PeerStateReceived StateFor(Offset aFrom);

  // An id that no other request or record of any entry host has.
  std::string NewId();

  // Calls the function with the control state under its lock.
  template<typename Function>
  auto ReadControl(Function aFunction)
  {
    std::lock_guard lock(mControlMutex);
    return aFunction(mControl);
  }

  // Calls the function with the state of each pool under that pool's lock.
  template<typename Function>
  void ReadPools(Function aFunction)
  {
    std::shared_lock lock(mPoolsMutex);
    for (auto& [name, pool] : mPools) {
      std::lock_guard poolLock(pool->mMutex);
      aFunction(pool->mServer);
    }
  }

  // How long callers' requests took.
  RequestMetrics& RequestDurations() { return mRequests; }

  // The measures of buffer cost and roll-outs, as of now.
  FleetMetrics CurrentFleetMetrics();

  [[nodiscard]] const Settings& ActiveSettings() const { return mSettings; }
  [[nodiscard]] TimePoint Now() const;
  [[nodiscard]] bool IsReady();

private:
  struct PoolShard
  {
    std::mutex mMutex;
    PoolServer mServer;
  };

  struct PendingChange
  {
    std::optional<Decision> mDecision;
  };

  struct PeerThread
  {
    std::string mAddress;
    // The member that answers at the address.
    MemberName mReportedName;
    std::shared_ptr<PeerClient> mClient;
    std::thread mThread;
    std::atomic<bool> mEnd{ false };
    std::atomic<bool> mEnded{ false };
  };

  void StepControl(const ControlEvent& aEvent);
  void StepPool(const PoolName& aPool, const PoolEvent& aEvent);
  PoolShard* FindPool(const PoolName& aPool);
  PoolShard& FindOrAddPool(const PoolName& aPool);

  void Perform(const ControlAction& aAction);
  void Perform(TimePoint aDecidedAt, const PoolAction& aAction);

  Outcome RunToOutcome(const RequestPointer& aRequest);
  AttemptResult RunAttempt(const TimedAction& aAction);
  AttemptResult RunForward(const Forward& aForward);
  Duration AppendInterval();
  void RunAppends();
  void RunFetches();
  void ReadLog();
  void RunTicks();
  void UpdateFleetMetrics();
  void PollPlatform();
  void RunPlatformCalls();
  void EnqueuePlatformCall(std::function<absl::Status()> aCall);
  absl::Status RebootHostNow(const HostName& aHost, TimePoint aDecidedAt);
  void ExchangeWith(const MemberName& aMember, PeerThread& aPeer);
  void ReconcilePeers();
  void JoinEndedPeers();
  void WaitForRequests();
  void WaitForLeave();
  std::map<MemberName, std::string> DesiredPeers();
  std::shared_ptr<PeerClient> FindPeerClient(const MemberName& aMember);
  std::map<PoolName, PeerLoadReported> CollectLoads();
  void Sleep(Duration aDuration);

  Settings mSettings;
  Platform mPlatform;
  TargetClient mTarget;
  std::chrono::steady_clock::time_point mSteadyStart;
  TimePoint mStart;
  std::string mIncarnation;
  std::atomic<std::int64_t> mNextId{ 1 };
  std::atomic<int> mInFlightRequests{ 0 };
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mEnd{ false };

  std::mutex mControlMutex;
  Control mControl;

  std::shared_mutex mPoolsMutex;
  std::map<PoolName, std::unique_ptr<PoolShard>> mPools;

  RequestMetrics mRequests;
  std::mutex mFleetMetricsMutex;
  FleetMetrics mFleetMetrics;

  Waiters mWaiters;

  std::mutex mAppendMutex;
  std::condition_variable mAppendQueued;
  std::optional<std::vector<std::string>> mPendingAppend;

  // Calls to the platform that may take long, in the order in which they were asked for.
  std::mutex mPlatformCallQueueMutex;
  std::condition_variable mPlatformCallQueued;
  std::deque<std::function<absl::Status()>> mPlatformCallQueue;
  std::atomic<std::int64_t> mPlatformCalls{ 0 };
  std::atomic<std::int64_t> mPlatformCallsFailed{ 0 };

  std::mutex mFetchMutex;
  std::condition_variable mFetchQueued;
  std::optional<FetchFromPeer> mPendingFetch;

  std::mutex mChangesMutex;
  std::condition_variable mChangeDecided;
  std::map<RecordId, PendingChange> mChanges;

  std::mutex mPeersMutex;
  std::map<MemberName, std::unique_ptr<PeerThread>> mPeers;
  // Threads that were told to end, and may still wait for a peer that is gone.
  std::vector<std::unique_ptr<PeerThread>> mEndingPeers;

  std::mutex mSleepMutex;
  std::condition_variable mSleepInterrupted;
  std::vector<std::thread> mThreads;
};

}
