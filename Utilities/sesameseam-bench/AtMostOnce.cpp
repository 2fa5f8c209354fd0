#include "Experiment.h"

#include "LibBase/Json.h"
#include "LibExperiment/Faults.h"
#include "LibExperiment/KeyedCallers.h"

// Sends requests with idempotency keys while faults of all kinds are injected. A caller that gets
// no answer within its timeout retries at another entry host. The baseline sends the same requests
// without claims.
namespace sesameseam {

namespace {

constexpr int kEntryHosts = 9;
constexpr int kExecutors = 10;
constexpr int kRequests = 10000;
constexpr Duration kRequestInterval = 5ms;
constexpr Duration kCallerTimeout = 400ms;
constexpr Duration kFaultInterval = 2s;
constexpr Duration kLongestFault = 5s;
constexpr Duration kSettleTime = 30s;

const PoolName kPool("orders");

std::vector<Fault>
GenerateFaults(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<Fault> faults;
  for (Duration at = kFaultInterval; at < kRequests * kRequestInterval; at += kFaultInterval) {
    Fault fault;
    fault.mKind = static_cast<FaultKind>(random() % kFaultKinds);
    fault.mAfter = at;
    fault.mLength = Duration(static_cast<Duration::rep>(random() % kLongestFault.count()));
    fault.mNumber = random() % kExecutors;
    faults.push_back(fault);
  }
  return faults;
}

JsonValue
SummarizeReport(const KeyedReport& aReport, const Deployment& aDeployment)
{
  JsonValue figures;
  figures.Add("requests") = JsonInteger(aReport.mRequests);
  figures.Add("tries") = JsonInteger(aReport.mTries);
  figures.Add("answered") = JsonInteger(aReport.mAnswered);
  figures.Add("not_run") = JsonInteger(aReport.mNotRun);
  figures.Add("unknown") = JsonInteger(aReport.mUnknown);
  figures.Add("doubled") = JsonInteger(aReport.mDoubled);
  figures.Add("not_run_but_ran") = JsonInteger(aReport.mNotRunButRan);
  figures.Add("wrong_answers") = JsonInteger(aReport.mWrongAnswers);
  figures.Add("appends") = JsonInteger(aDeployment.mLog.mAppends);
  return figures;
}

JsonValue
RunOnce(std::uint64_t aSeed, bool aWithClaims)
{
  Deployment deployment;
  DeploymentSettings settings;
  settings.mEntryHosts = kEntryHosts;
  settings.mSeed = aSeed;
  StartDeployment(deployment, settings);
  AddPool(deployment, kPool, kExecutors, 2s);
  RunUntil(deployment, deployment.mNow + kSettleTime);

  KeyedCallers callers;
  callers.mPatience = kCallerTimeout;
  callers.mClaims = aWithClaims;
  InjectFaults(deployment, GenerateFaults(aSeed));
  std::mt19937_64 random(aSeed);
  for (int i = 0; i < kRequests; ++i) {
    auto runTime = Duration(static_cast<Duration::rep>(1000 + random() % 200000));
    SendKeyed(deployment, callers, kPool, random() % kEntryHosts, runTime);
    RunUntil(deployment, deployment.mNow + kRequestInterval);
  }
  RunUntil(deployment, deployment.mNow + kSettleTime);
  return SummarizeReport(ReportKeyed(deployment, callers), deployment);
}

ExperimentResult
MeasureAtMostOnce(std::uint64_t aSeed)
{
  return { RunOnce(aSeed, false), RunOnce(aSeed, true) };
}

[[maybe_unused]] const bool kRegistered = RegisterExperiment("at_most_once", MeasureAtMostOnce);

}

}
