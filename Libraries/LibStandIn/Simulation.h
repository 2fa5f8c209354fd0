#pragma once

#include "LibSchedule/Node.h"
#include "LibStandIn/FakeExecutor.h"
#include "LibStandIn/FakeStore.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

// A deterministic simulation of entry hosts, a store and executors, in one thread and on a
// simulated clock. Calls take time; a fraction of them is lost or executed late. Invariants are
// checked at each event.
namespace sesameseam::standin {

struct SimulationSettings
{
  int mHosts = 3;
  // The number of hosts, from the first on, that have a tenth of the others' CPU capacity.
  int mSmallHosts = 0;
  int mExecutors = 4;
  // Executors of a second pool, whose queue gets no jobs.
  int mOtherExecutors = 0;
  int mExecutorCores = 8;
  std::uint64_t mSeed = 1;
  // Probabilities that the request or the answer of a call is lost.
  double mRequestLoss = 0;
  double mAnswerLoss = 0;
  // Probability that an order to an executor is not answered and is executed 2 to 8 s late.
  double mLateOrders = 0;
  // Whether a connection to an executor that is down is refused; otherwise calls to it are lost.
  bool mRefusesWhenDown = false;
  // Whether a connection to an executor that is cut off, and runs on, is refused too.
  bool mRefusesWhenCut = false;
  // The longest lease that executors grant.
  std::chrono::milliseconds mMaxLease{ 6000 };
  // Of a hundred jobs that a test with random faults submits, how many crash their executors.
  int mDeadlyJobs = 0;
  // The time that the store takes for each call.
  Duration mStoreLatency = 4ms;
  // The processor time that a host takes for each event. It handles one event after the other.
  Duration mEventCost{ 0 };
  // The part of it that is left for each answer that a relay brings: the transport of the call is
  // the relay's.
  double mRelayedCost = 0.1;
  // Whether hosts make calls to executors for one another.
  bool mHasRelays = true;
  // How late a host's timers have to be so that it shares its calls.
  Duration mShareCallsDelay = 15ms;
  // The processor capacity of a host.
  int mHostMillicores = 1000;
  // The rate of each host's link to everything else; 0 if it is unlimited. What is sent over it
  // comes one after the other.
  std::int64_t mLinkBytesPerSecond = 0;
  // The cores that the tenant of all jobs may have running; 0 if there are no tenants.
  int mQuotaCores = 0;
};

// What a host has had to do.
struct HostWork
{
  std::int64_t mEvents = 0;
  // The calls to executors that it made for its own shards, and its exchanges with relays.
  std::int64_t mCalls = 0;
  std::int64_t mBytes = 0;
};

struct SimulatedHost
{
  std::string mName;
  schedule::Node mNode;
  bool mIsUp = true;
  bool mIsFrozen = false;
  bool mReachesStore = true;
  // Distinguishes this process from former ones, so that answers to those are dropped.
  int mIncarnation = 0;
  std::vector<std::function<void()>> mDeferredEvents;
  // Events that wait for the processor, in the order of their arrival. Empty if events cost
  // nothing.
  std::deque<schedule::Event> mInbox;
  // The processor is occupied until then.
  schedule::Instant mBusyUntil;
  // The link is occupied until then.
  schedule::Instant mLinkBusyUntil;
  // When the node asked to be woken up.
  schedule::Instant mWakeUpAt;
  HostWork mWork;
};

// How much longer than usual a call is on the way.
struct CallDelay
{
  Duration mRequest{ 0 };
  Duration mAnswer{ 0 };
};

struct SubmittedJob
{
  schedule::JobDefinition mDefinition;
  bool mAccepted = false;
  schedule::Instant mAcceptedAt;
  bool mRefused = false;
  bool mCancelled = false;
  schedule::Instant mCancelledAt;
};

class Simulation
{
public:
  explicit Simulation(const SimulationSettings& aSettings);

  void RunFor(Duration aTime);
  [[nodiscard]] schedule::Now Time() const;

  // Submits a job at a host. The reply is recorded when it arrives.
  JobId Submit(int aHost, std::vector<schedule::Step> aSteps, std::string aSpec);
  // Submits a job once more.
  void Repeat(int aHost, const JobId& aJob);
  void Cancel(int aHost, const JobId& aJob);
  // Requests the state of a job from a host. The reply is recorded when it arrives.
  void AskState(int aHost, const JobId& aJob);
  // Requests the number of waiting jobs from a host.
  void AskCount(int aHost);
  // The number in the last reply of that kind, or -1.
  [[nodiscard]] std::int64_t LastCount() const { return mLastCount; }
  [[nodiscard]] schedule::ReplyKind LastReply(const JobId& aJob) const;
  // The phase in the last reply about the job.
  [[nodiscard]] schedule::JobPhase PhaseAt(const JobId& aJob) const;

  void Kill(int aHost);
  void Revive(int aHost);
  void Freeze(int aHost);
  void Thaw(int aHost);
  void StopGracefully(int aHost);
  void CutFromStore(int aHost, bool aIsCut);
  void StoreDown(bool aIsDown) { mStoreDown = aIsDown; }
  // Starts that are sent from now on, and their answers, take this much longer on the way.
  void DelayStarts(CallDelay aDelay) { mStartDelay = aDelay; }
  // The same for orders that throttle a task.
  void DelayThrottles(CallDelay aDelay) { mThrottleDelay = aDelay; }
  void CrashExecutor(int aExecutor);
  // Ends an executor's process. Another one starts on the machine after some seconds, under the
  // same id or under a new one.
  void CrashExecutorFor(int aExecutor, Duration aTime, bool aKeepsId);
  // Drops all calls to an executor, which keeps running.
  void CutExecutor(int aExecutor, bool aIsCut);
  void DrainExecutor(int aExecutor);
  void ListExecutor(int aExecutor);
  void DelistExecutor(int aExecutor);
  void AddWave(const schedule::Wave& aWave);
  void PublishManifest(const schedule::Manifest& aManifest);
  // Publishes the next version of the manifest, with another service of the jobs' queue. Without
  // one, the queue has no route.
  void MoveQueue(std::string_view aService);
  // Publishes the next version of the manifest, without a service and its routes.
  void RemoveService(std::string_view aService);

  // Whether the job's newest progress record has a final phase.
  [[nodiscard]] bool HasEnded(const JobId& aJob) const;
  // Whether every accepted job has ended.
  [[nodiscard]] bool AllEnded() const;
  // The invariants that were violated so far.
  [[nodiscard]] const std::vector<std::string>& Violations() const { return mViolations; }
  [[nodiscard]] int CountRuns(const JobId& aJob) const;
  // How many executors crashed under a task of the job.
  [[nodiscard]] int CountCrashes(const JobId& aJob) const;
  [[nodiscard]] std::int64_t CompletedTasks() const { return mCompletedTasks; }
  // Bytes of records that hosts have read from the log to answer callers' queries.
  [[nodiscard]] std::int64_t QueryBytes() const { return mQueryBytes; }

  FakeStore mStore;
  std::vector<SimulatedHost> mHosts;
  std::vector<FakeExecutor> mExecutors;
  std::map<JobId, SubmittedJob> mJobs;
  std::map<schedule::MachineId, schedule::Machine> mMachines;
  std::vector<schedule::MaintenanceCall> mUpkeeps;
  std::vector<schedule::WaveStatusCall> mWaveReports;

private:
  struct Request
  {
    schedule::RequestKind mKind = schedule::RequestKind::State;
    JobId mJob;
    // Whether the caller had been told that the job is accepted when it sent the request.
    bool mWasAccepted = false;
    // Whether the caller had been told that the job has ended when it sent the request.
    bool mWasShownEnded = false;
    schedule::Instant mSentAt;
  };

  struct ScheduledWork
  {
    schedule::Instant mAt;
    std::int64_t mOrder = 0;
    std::function<void()> mWork;
  };
  struct Later
  {
    bool operator()(const ScheduledWork& aLeft, const ScheduledWork& aRight) const
    {
      return std::tie(aLeft.mAt, aLeft.mOrder) > std::tie(aRight.mAt, aRight.mOrder);
    }
  };

  void ScheduleAfter(Duration aTime, std::function<void()> aWork);
  bool Chance(double aShare);
  void Deliver(int aHost, int aIncarnation, const schedule::Event& aEvent);
  void HandleInbox(int aHost, int aIncarnation);
  void HandleEvent(int aHost, const schedule::Event& aEvent);
  void ScheduleWakeUp(int aHost);
  [[nodiscard]] Duration CostOf(const schedule::Event& aEvent) const;
  void Tick(int aHost, int aIncarnation);
  void Execute(int aHost, const schedule::Action& aAction);
  // Executes one action of a host.
  void Perform(int aHost, const schedule::Reply& aCall);
  void Perform(int aHost, const schedule::AppendCall& aCall);
  void Perform(int aHost, const schedule::ReadCall& aCall);
  void Perform(int aHost, const schedule::ReadNewestCall& aCall);
  void Perform(int aHost, const schedule::JoinCall& aCall);
  void Perform(int aHost, const schedule::OwnersCall& aCall);
  void Perform(int aHost, const schedule::LeaveCall& aCall);
  void Perform(int aHost, const schedule::HeartbeatCall& aCall);
  void Perform(int aHost, const schedule::StartCall& aCall);
  void Perform(int aHost, const schedule::StopCall& aCall);
  void Perform(int aHost, const schedule::ThrottleCall& aCall);
  void Perform(int aHost, const schedule::RelayCall& aCall);
  void Perform(int aHost, const schedule::RelayReply& aReply);
  void Perform(int aHost, const schedule::MachinesCall& aCall);
  void Perform(int aHost, const schedule::MaintenanceCall& aCall);
  void Perform(int aHost, const schedule::MoveCall& aCall);
  void Perform(int aHost, const schedule::WaveStatusCall& aCall);
  void Perform(int aHost, const schedule::LogEntry& aEntry);
  void RecordReply(const schedule::Reply& aReply);
  void CheckShownPhase(const Request& aRequest, schedule::JobPhase aPhase);
  // Checks that the count contains all jobs that had been accepted when it was asked for, and of
  // which no task has begun.
  void CheckCount(const Request& aRequest, std::int64_t aCount);
  // The phase of a job in its newest progress record.
  [[nodiscard]] schedule::JobPhase StoredPhase(const JobId& aJob) const;
  void CountQueryBytes(schedule::Reader aReader,
                       const std::vector<schedule::KeyedRecord>& aRecords);
  void Send(int aHost,
            schedule::RequestKind aKind,
            const JobId& aJob,
            const schedule::JobDefinition* aDefinition);

  // Simulates a call to the store. aWork executes the request and returns the answer;
  // aWithoutAnswer is delivered after a timeout when the request or the answer is lost.
  void CallStore(int aHost,
                 const schedule::Event& aWithoutAnswer,
                 const std::function<schedule::Event()>& aWork,
                 std::size_t aBytes = 400);
  void CallExecutor(int aHost,
                    const schedule::ExecutorAddress& aTo,
                    CallDelay aDelay,
                    const schedule::Event& aWithoutAnswer,
                    const std::function<schedule::Event(FakeExecutor&)>& aWork);
  FakeExecutor* FindExecutor(const schedule::ExecutorAddress& aTo);
  // Whether a call there finds a machine, but no process.
  [[nodiscard]] bool HasNoListener(const schedule::ExecutorAddress& aTo) const;
  void AnswerRead(int aHost,
                  int aIncarnation,
                  const schedule::ReadCall& aCall,
                  schedule::Instant aUntil);
  void AnswerHeartbeat(int aHost,
                       int aIncarnation,
                       const schedule::HeartbeatCall& aCall,
                       schedule::Instant aUntil);
  void FillExternalRecords(schedule::Stream aStream,
                           std::int64_t aFrom,
                           schedule::ExternalRecords& aOut);

  // Counts what is sent or received, occupies a host's link, and returns how long it takes until
  // the bytes are through.
  Duration Transfer(int aHost, std::size_t aBytes);

  void CheckStart(const FakeExecutor& aExecutor, const schedule::StartCall& aCall);
  // Checks that a stop of a long-running task leaves as many tasks of its step as it asks for.
  void CheckStop(const FakeExecutor& aExecutor, const schedule::StopCall& aCall);
  // Checks that no long-running task is without a run for long.
  void CheckLongRunningTasks();
  // Checks that there are no more runs than the tenant may have, by the manifest.
  void CheckQuota(const std::string& aTask);
  // Checks that the owners' counts of what tenants have running match their runs.
  void CheckUsage();
  void CheckKeptState();
  void CheckPlacement();
  // Checks that the sums of demand that owners keep match their jobs and executors.
  void CheckDemand();
  // Ends the process of the executor if the run that has just started is one that crashes it.
  void CrashUnder(FakeExecutor& aExecutor, const schedule::StartCall& aCall);
  // Executes an order that takes a machine out of service and returns it to a pool after a time.
  bool TakeMachineDown(const schedule::MachineId& aMachine,
                       std::int64_t aFence,
                       Duration aTime,
                       const schedule::ServiceName& aTo);
  void ReturnMachine(const schedule::MachineId& aMachine, const schedule::ServiceName& aTo);
  // Whether executors have listed all tasks of the job as done.
  [[nodiscard]] bool AreAllListedAsDone(const JobId& aJob) const;
  void RecordAcknowledged(const FakeExecutor& aExecutor, std::int64_t aLastSeen);

  SimulationSettings mSettings;
  schedule::Instant mNow;
  std::int64_t mNextOrder = 0;
  std::priority_queue<ScheduledWork, std::vector<ScheduledWork>, Later> mQueue;
  std::mt19937_64 mRandom;
  bool mStoreDown = false;
  CallDelay mStartDelay;
  CallDelay mThrottleDelay;
  // Set while an executor carries out an order long after its sender gave up on an answer.
  bool mIsOrderLate = false;
  std::set<int> mCutExecutors;
  schedule::Manifest mManifest;
  std::vector<schedule::ExternalRecords> mOperatorRecords;
  std::vector<schedule::ExternalRecords> mExecutorRecords;
  std::map<schedule::RequestTicket, Request> mRequests;
  schedule::RequestTicket mNextRequest = 1;
  std::map<JobId, schedule::Reply> mReplies;
  std::map<JobId, int> mRuns;
  std::map<std::string, int> mCapacities;
  // The exchanges between hosts that are not answered yet, by the ticket at the relay.
  std::map<std::int64_t, std::function<void(const schedule::RelayResponse&)>> mExchanges;
  std::int64_t mNextExchange = 1;
  std::map<schedule::MachineId, std::int64_t> mMachineFences;
  std::set<schedule::TaskId> mDone;
  // The tasks of which an executor has listed a run as done.
  std::set<schedule::TaskId> mListedAsDone;
  // For each task that crashes executors: how many it has crashed, and how often it was started
  // after the third.
  std::map<schedule::TaskId, int> mCrashes;
  std::map<schedule::TaskId, int> mStartsAfterCrashes;
  // When each task of the long-running steps last ran, and those that an order has ended since.
  std::map<schedule::TaskId, schedule::Instant> mLastRanAt;
  std::set<schedule::TaskId> mStoppedTasks;
  std::vector<std::string> mViolations;
  std::int64_t mCompletedTasks = 0;
  std::int64_t mQueryBytes = 0;
  std::int64_t mLastCount = -1;
  // The starts since the state that owners keep was last checked.
  std::size_t mStartsSinceCheck = 0;
  // The final phases that callers were told.
  std::map<JobId, schedule::JobPhase> mShownFinal;
};

}
