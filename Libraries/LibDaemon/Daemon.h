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

// Runs one entry host: delivers events to the state machines of the control plane and the pools and
// executes the actions that they return. All decisions are made by the state machines. The control
// plane and each pool have a mutex of their own; no two of these are held at the same time.
class Daemon
{
public:
  Daemon(Settings aSettings, Platform aPlatform, TargetClient aTarget);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();

  // Refuses new requests, waits for those in flight, leaves the member set and joins the threads.
  void Stop();

  // Blocks the calling thread until the request has its outcome. A request has exactly one.
  Outcome Serve(Request aRequest);

  // Appends the change to the log and waits until folding it has accepted or rejected it.
  absl::StatusOr<Decision> ChangeConfiguration(Record aRecord, Duration aTimeout);

  PeerReport ExchangeReports(const PeerReport& aReport);

  // Returns the records or state that a peer needs whose next offset to fold is aFrom.
  PeerStateReceived StateFor(Offset aFrom);

  // Returns an id that is unique among the requests and records of all entry hosts.
  std::string NewId();

  // Calls the function with the control state while holding its mutex.
  template<typename Function>
  auto ReadControl(Function aFunction)
  {
    std::lock_guard lock(mControlMutex);
    return aFunction(mControl);
  }

  // Calls the function with the state of each pool while holding that pool's mutex.
  template<typename Function>
  void ReadPools(Function aFunction)
  {
    std::shared_lock lock(mPoolsMutex);
    for (auto& [name, pool] : mPools) {
      std::lock_guard poolLock(pool->mMutex);
      aFunction(pool->mServer);
    }
  }

  // Durations of the callers' requests.
  RequestMetrics& RequestDurations() { return mRequests; }

  // Returns a copy of the current metrics on buffer costs and roll-outs.
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
    // The name that the peer at this address reported.
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

  // Platform calls that may block for long, executed by RunPlatformCalls in FIFO order.
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
  // Threads that were asked to end but may still be blocked on an unresponsive peer.
  std::vector<std::unique_ptr<PeerThread>> mEndingPeers;

  std::mutex mSleepMutex;
  std::condition_variable mSleepInterrupted;
  std::vector<std::thread> mThreads;
};

}
