#pragma once

#include "LibSchedule/Node.h"
#include "LibStandIn/FakeExecutor.h"
#include "LibStandIn/FakeStore.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

// Many entry hosts, a store and executors in one thread, on a clock of their own. Calls take time,
// and a share of them is lost, or carried out late. Each promise is checked as things happen.
namespace sesameseam::standin {

struct SimulationSettings
{
  int mHosts = 3;
  // So many of them, the first, have a tenth of the others' processor time.
  int mSmallHosts = 0;
  int mExecutors = 4;
  // Executors of a second pool, whose queue gets no jobs.
  int mOtherExecutors = 0;
  int mExecutorCores = 8;
  std::uint64_t mSeed = 1;
  // Shares of the calls whose request or whose answer is lost.
  double mRequestLoss = 0;
  double mAnswerLoss = 0;
  // The share of orders to executors that get no answer and are carried out 2 to 8 s later.
  double mLateOrders = 0;
};

struct SimulatedHost
{
  std::string mName;
  schedule::Node mNode;
  bool mIsUp = true;
  bool mIsFrozen = false;
  bool mReachesStore = true;
  // Tells answers to a former process from those to this one.
  int mIncarnation = 0;
  std::vector<std::function<void()>> mDeferredEvents;
};

struct SubmittedJob
{
  schedule::JobDefinition mDefinition;
  bool mAccepted = false;
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

  // Hands in a job at one host. The answer is noted once it comes.
  JobId Submit(int aHost, std::vector<schedule::Step> aSteps, std::string aSpec);
  void Cancel(int aHost, const JobId& aJob);
  // What a caller at that host is told now, once the answer comes.
  void AskState(int aHost, const JobId& aJob);
  [[nodiscard]] schedule::ReplyKind LastReply(const JobId& aJob) const;
  // What the host's answer said last.
  [[nodiscard]] schedule::JobPhase PhaseAt(const JobId& aJob) const;

  void Kill(int aHost);
  void Revive(int aHost);
  void Freeze(int aHost);
  void Thaw(int aHost);
  void StopGracefully(int aHost);
  void CutFromStore(int aHost, bool aIsCut);
  void StoreDown(bool aIsDown) { mStoreDown = aIsDown; }
  void CrashExecutor(int aExecutor);
  // No call gets through, and it runs on.
  void CutExecutor(int aExecutor, bool aIsCut);
  void DrainExecutor(int aExecutor);
  void ListExecutor(int aExecutor);
  void DelistExecutor(int aExecutor);
  void AddWave(const schedule::Wave& aWave);
  void PublishManifest(const schedule::Manifest& aManifest);

  // Whether every accepted job has ended, and the promises that were broken so far.
  [[nodiscard]] bool AllEnded() const;
  [[nodiscard]] const std::vector<std::string>& Violations() const { return mViolations; }
  [[nodiscard]] int CountRuns(const JobId& aJob) const;
  [[nodiscard]] std::int64_t CompletedTasks() const { return mCompletedTasks; }

  FakeStore mStore;
  std::vector<SimulatedHost> mHosts;
  std::vector<FakeExecutor> mExecutors;
  std::map<JobId, SubmittedJob> mJobs;
  std::map<schedule::MachineId, schedule::Machine> mMachines;
  std::vector<schedule::MaintenanceCall> mUpkeeps;
  std::vector<schedule::WaveStatusCall> mWaveReports;

private:
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
  void HandleEvent(int aHost, const schedule::Event& aEvent);
  void Tick(int aHost, int aIncarnation);
  void Execute(int aHost, const schedule::Action& aAction);
  // Carries out one action of a host.
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
  void Perform(int aHost, const schedule::MachinesCall& aCall);
  void Perform(int aHost, const schedule::MaintenanceCall& aCall);
  void Perform(int aHost, const schedule::MoveCall& aCall);
  void Perform(int aHost, const schedule::WaveStatusCall& aCall);
  void Perform(int aHost, const schedule::LogEntry& aEntry);
  void RecordReply(const schedule::Reply& aReply);
  void Send(int aHost,
            schedule::RequestKind aKind,
            const JobId& aJob,
            const schedule::JobDefinition* aDefinition);

  // Makes a call to the store: the request, what it does there, and the answer.
  void CallStore(int aHost,
                 const schedule::Event& aWithoutAnswer,
                 const std::function<schedule::Event()>& aWork);
  void CallExecutor(int aHost,
                    const schedule::ExecutorAddress& aTo,
                    bool aIsOrder,
                    const schedule::Event& aWithoutAnswer,
                    const std::function<schedule::Event(FakeExecutor&)>& aWork);
  FakeExecutor* FindExecutor(const schedule::ExecutorAddress& aTo);
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

  void CheckStart(const FakeExecutor& aExecutor, const schedule::StartCall& aCall);
  // Carries out an order that takes a machine down and brings it back in a pool.
  bool TakeMachineDown(const schedule::MachineId& aMachine,
                       std::int64_t aFence,
                       Duration aTime,
                       const schedule::ServiceName& aTo);
  void ReturnMachine(const schedule::MachineId& aMachine, const schedule::ServiceName& aTo);
  void RecordAcknowledged(const FakeExecutor& aExecutor, std::int64_t aLastSeen);

  SimulationSettings mSettings;
  schedule::Instant mNow;
  std::int64_t mNextOrder = 0;
  std::priority_queue<ScheduledWork, std::vector<ScheduledWork>, Later> mQueue;
  std::mt19937_64 mRandom;
  bool mStoreDown = false;
  std::set<int> mCutExecutors;
  std::vector<schedule::ExternalRecords> mOperatorRecords;
  std::vector<schedule::ExternalRecords> mExecutorRecords;
  struct Request
  {
    schedule::RequestKind mKind = schedule::RequestKind::State;
    JobId mJob;
  };

  std::map<schedule::RequestTicket, Request> mRequests;
  schedule::RequestTicket mNextRequest = 1;
  std::map<JobId, schedule::Reply> mReplies;
  std::map<JobId, int> mRuns;
  std::map<std::string, int> mCapacities;
  std::map<schedule::MachineId, std::int64_t> mMachineFences;
  std::set<schedule::TaskId> mDone;
  std::vector<std::string> mViolations;
  std::int64_t mCompletedTasks = 0;
};

}
