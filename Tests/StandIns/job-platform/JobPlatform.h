#pragma once

#include "LibHttp/EventHttpServer.h"
#include "LibStandIn/FakeExecutor.h"
#include "LibStandIn/FakeStore.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

struct event_base;

// A fake of the users' platform for tests of whole processes: the store, the machine list and some
// executors, on one event loop. GET /summary returns counts of task starts and of violations.
namespace sesameseam::standin {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kUnavailable = 503;
inline constexpr char kJson[] = "application/json";

using StoreQuery = std::map<std::string, std::string>;

// A long poll, which is answered when there is news or when its wait ends.
struct PendingRequest
{
  EventHttpServer* mServer = nullptr;
  std::int64_t mTicket = 0;
  schedule::Instant mUntil;
  std::function<std::optional<EventHttpReply>(bool aIsOver)> mAnswer;
};

// The address that an executor listens on, and the one in its entry in the list of executors.
struct ExecutorAddresses
{
  std::string mListen;
  std::string mListed;
};

class Platform
{
public:
  Platform(event_base* aBase,
           const std::string& aStore,
           const std::vector<ExecutorAddresses>& aExecutors);

  absl::Status Listen();
  void Tick();

private:
  void OnStoreRequest(const EventHttpIncoming& aIncoming);
  void OnExecutorRequest(std::size_t aIndex, const EventHttpIncoming& aIncoming);
  EventHttpReply AnswerAppend(const EventHttpIncoming& aIncoming, const StoreQuery& aQuery);
  EventHttpReply AnswerNewest(const StoreQuery& aQuery);
  EventHttpReply AnswerJoin(const std::string& aBody);
  EventHttpReply AnswerMachines();
  EventHttpReply AnswerStart(std::size_t aIndex, const std::string& aBody);
  EventHttpReply AnswerHeartbeat(std::size_t aIndex, const schedule::HeartbeatCall& aCall);
  EventHttpReply Summary();
  EventHttpReply StartedJobs();
  // Injects faults into the store, or restarts an executor.
  EventHttpReply Control(const StoreQuery& aQuery);
  bool Chance(double aShare);
  // Writes a version of the operator's configuration, which adds a queue for each version.
  void WriteConfig(std::int64_t aVersion);
  // Simulates the end of an executor's process, which closes all connections, and the start of
  // another one at the same address.
  void RestartExecutor(std::size_t aIndex);
  void MakeServer(std::size_t aIndex);
  void ReplyWhenReady(PendingRequest aRequest);
  void RecordStart(const schedule::StartCall& aCall);

  event_base* mBase;
  FakeStore mStore;
  std::vector<ExecutorAddresses> mAddresses;
  std::vector<FakeExecutor> mExecutors;
  std::unique_ptr<EventHttpServer> mStoreServer;
  std::vector<std::unique_ptr<EventHttpServer>> mServers;
  std::list<PendingRequest> mPendingRequests;
  std::set<schedule::TaskId> mDone;
  std::set<std::string> mStartedJobs;
  // Probabilities that a call to the store is refused, and that it is executed but not answered.
  double mRefusedShare = 0;
  double mLostShare = 0;
  std::mt19937_64 mRandom{ 1 };
  std::int64_t mStarts = 0;
  std::int64_t mDuplicateRuns = 0;
  std::int64_t mRestartedTasks = 0;
  std::int64_t mOvercommitted = 0;
};

}
