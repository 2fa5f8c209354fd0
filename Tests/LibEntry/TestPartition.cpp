#include "LibExperiment/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;

namespace {

const PoolName kPool("previews");
const PoolName kOtherPool("listings");

Request
RequestFor(const Deployment& aDeployment, const PoolName& aPool, Duration aRunTime)
{
  Request request;
  request.mPool = aPool;
  request.mIdempotent = true;
  request.mKind = "preview";
  request.mDeadline = aDeployment.mNow + 3s;
  request.mBody = std::to_string(aRunTime.count());
  return request;
}

void
Start(Deployment& aDeployment, std::uint64_t aSeed)
{
  DeploymentSettings settings;
  settings.mSeed = aSeed;
  settings.mRebootTime = 1s;
  StartDeployment(aDeployment, settings);
  AddPool(aDeployment, kPool, 2, 1s);
  AddPool(aDeployment, kOtherPool, 2, 1s);
  RunUntil(aDeployment, aDeployment.mNow + 10s);
}

void
CutOff(Deployment& aDeployment, const std::set<std::size_t>& aNodes)
{
  aDeployment.mIsCut = [aNodes](std::size_t aFrom, std::size_t aTo) {
    return aNodes.contains(aFrom) != aNodes.contains(aTo);
  };
}

// A host that is drained in the newest state must not run anything.
void
CheckDrainedHostsAreIdle(const Deployment& aDeployment)
{
  for (const auto& node : aDeployment.mNodes) {
    for (const auto& [name, host] : node.mHost.mControl.mFleet.mHosts) {
      // Nodes that lag may still hold an older phase.
      bool newest = node.mHost.mControl.mFleet.mApplied + 1 == aDeployment.mLog.mEnd;
      if (newest && host.mPhase == HostPhase::Drained) {
        RC_ASSERT(aDeployment.mExecutors.at(name).mRunning == 0);
      }
    }
  }
}

void
InjectRandomFault(Deployment& aDeployment)
{
  auto node = *rc::gen::inRange<std::size_t>(0, 3);
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return PauseNode(aDeployment, node, *rc::gen::inRange(1, 80) * 100ms);
    case 1:
      return aDeployment.mNodes[node].mAlive ? KillNode(aDeployment, node)
                                             : RestartNode(aDeployment, node);
    case 2:
      aDeployment.mLog.mOutage = !aDeployment.mLog.mOutage;
      return;
    case 3:
      aDeployment.mNodes[node].mReadsLog = !aDeployment.mNodes[node].mReadsLog;
      return;
    case 4:
      return CutOff(aDeployment, { node });
    case 5:
      return CutOff(aDeployment, {});
    default:
      break;
  }
  auto pool = *rc::gen::element(kPool, kOtherPool);
  auto host = HostName(pool.mValue + "-h" + std::to_string(*rc::gen::inRange(1, 3)));
  HostLeaving leaving{ host, LeaveReason::Move, pool == kPool ? kOtherPool : kPool, false, {}, {} };
  ChangeBy(aDeployment, node, "sari", std::nullopt, leaving);
}

void
RunWithLoad(Deployment& aDeployment, Duration aDuration)
{
  auto end = aDeployment.mNow + aDuration;
  for (int i = 0; aDeployment.mNow < end; ++i) {
    auto pool = i % 2 == 0 ? kPool : kOtherPool;
    Submit(aDeployment,
           static_cast<std::size_t>(i) % 3,
           RequestFor(aDeployment, pool, Duration(20ms * (i % 40))));
    RunUntil(aDeployment, aDeployment.mNow + 20ms);
    CheckDrainedHostsAreIdle(aDeployment);
  }
}

}

BOOST_AUTO_TEST_SUITE(TestPartition)

BOOST_AUTO_TEST_CASE(AHostCutOffFromLogAndMajorityStartsNoWork)
{
  BOOST_TEST(rc::check("cut off from log and majority", [] {
    Deployment deployment;
    Start(deployment, *rc::gen::inRange<std::uint64_t>(1, 1000));
    auto node = *rc::gen::inRange<std::size_t>(0, 3);
    deployment.mNodes[node].mReadsLog = false;
    CutOff(deployment, { node });
    std::vector<RequestId> late;
    auto cutAt = deployment.mNow;
    while (deployment.mNow < cutAt + 4s) {
      auto id = Submit(deployment, node, RequestFor(deployment, kPool, 10ms));
      if (deployment.mNow > cutAt + ServeSettings().mViewStaleAfter) {
        late.push_back(id);
      }
      RunUntil(deployment, deployment.mNow + *rc::gen::inRange(5, 100) * 1ms);
    }
    for (const auto& id : late) {
      RC_ASSERT(!deployment.mStarted.contains(id));
    }
    // The other entry hosts keep working; those that cannot read the log fetch its records from
    // peers.
    auto other = (node + 1) % 3;
    auto id = Submit(deployment, other, RequestFor(deployment, kPool, 10ms));
    RunUntil(deployment, deployment.mNow + 3s);
    auto answer = deployment.mAnswers.find(id);
    RC_ASSERT(answer != deployment.mAnswers.end());
    RC_ASSERT((answer->second.mOutcome.mKind == OutcomeKind::Answered));
  }));
}

BOOST_AUTO_TEST_CASE(ADrainedHostGetsNoWorkFromAnyHost)
{
  BOOST_TEST(rc::check("drained hosts are idle", [] {
    Deployment deployment;
    Start(deployment, *rc::gen::inRange<std::uint64_t>(1, 1000));
    auto steps = *rc::gen::inRange(1, 25);
    for (int step = 0; step < steps; ++step) {
      InjectRandomFault(deployment);
      RunWithLoad(deployment, *rc::gen::inRange(1, 30) * 100ms);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
