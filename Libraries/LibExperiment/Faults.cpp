#include "LibExperiment/Faults.h"

#include <memory>

namespace sesameseam {

namespace {

// Counts the faults in force on each node or executor, since they may overlap.
struct FaultState
{
  std::map<std::size_t, int> mCut;
  std::map<std::size_t, int> mNoLog;
  int mOutages = 0;
};

using FaultStatePointer = std::shared_ptr<FaultState>;

FakeExecutor&
ExecutorOf(Deployment& aDeployment, std::size_t aNumber)
{
  auto position = aDeployment.mExecutors.begin();
  std::advance(position, static_cast<std::ptrdiff_t>(aNumber % aDeployment.mExecutors.size()));
  return position->second;
}

void
SwitchExecutor(FakeExecutor& aExecutor, FaultKind aKind, bool aOn)
{
  if (aKind == FaultKind::LostAnswers) {
    aExecutor.mLoseAnswers = aOn ? 0.5 : 0.0;
  } else if (aKind == FaultKind::DeadExecutor) {
    aExecutor.mDead = aOn;
  } else if (aKind == FaultKind::FailingExecutor) {
    aExecutor.mFailAll = aOn;
  } else if (aKind == FaultKind::SlowExecutor) {
    aExecutor.mSlowness = aOn ? 10.0 : 1.0;
  }
}

void
Switch(Deployment& aDeployment, FaultState& aState, const Fault& aFault, bool aOn)
{
  auto node = aFault.mNumber % aDeployment.mNodes.size();
  int step = aOn ? 1 : -1;
  switch (aFault.mKind) {
    case FaultKind::KillAndRestart:
      if (aOn) {
        KillNode(aDeployment, node);
      } else if (!aDeployment.mNodes[node].mAlive) {
        RestartNode(aDeployment, node);
      }
      break;
    case FaultKind::Pause:
      if (aOn) {
        PauseNode(aDeployment, node, aFault.mLength);
      }
      break;
    case FaultKind::CutFromPeers:
      aState.mCut[node] += step;
      break;
    case FaultKind::CutFromLog:
      aState.mNoLog[node] += step;
      aDeployment.mNodes[node].mReadsLog = aState.mNoLog[node] == 0;
      break;
    case FaultKind::LogOutage:
      aState.mOutages += step;
      aDeployment.mLog.mOutage = aState.mOutages > 0;
      break;
    case FaultKind::LostLogAnswers:
      aDeployment.mLog.mLoseAnswers = aOn ? 0.5 : 0.0;
      break;
    default:
      SwitchExecutor(ExecutorOf(aDeployment, aFault.mNumber), aFault.mKind, aOn);
  }
}

}

std::ostream&
operator<<(std::ostream& aOut, const Fault& aFault)
{
  return aOut << "{kind " << static_cast<int>(aFault.mKind) << ", after " << aFault.mAfter.count()
              << " us, length " << aFault.mLength.count() << " us, number " << aFault.mNumber
              << "}";
}

void
InjectFaults(Deployment& aDeployment, const std::vector<Fault>& aFaults)
{
  auto state = std::make_shared<FaultState>();
  aDeployment.mIsCut = [state](std::size_t aFrom, std::size_t aTo) {
    return state->mCut[aFrom] > 0 || state->mCut[aTo] > 0;
  };
  for (const auto& fault : aFaults) {
    auto start = aDeployment.mNow + fault.mAfter;
    Schedule(aDeployment, start, [&aDeployment, state, fault] {
      Switch(aDeployment, *state, fault, true);
    });
    Schedule(aDeployment, start + fault.mLength, [&aDeployment, state, fault] {
      Switch(aDeployment, *state, fault, false);
    });
  }
}

}
