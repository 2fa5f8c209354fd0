#pragma once

#include "LibExperiment/Deployment.h"

#include <ostream>

// Faults that are switched on and off again at given times.
namespace sesameseam {

enum class FaultKind
{
  KillAndRestart,
  Pause,
  // The entry host and its peers cannot reach each other.
  CutFromPeers,
  // The entry host cannot reach the log.
  CutFromLog,
  LogOutage,
  LostLogAnswers,
  // Executors, chosen by the fault's number.
  LostAnswers,
  DeadExecutor,
  FailingExecutor,
  SlowExecutor,
};

constexpr int kFaultKinds = 10;

struct Fault
{
  FaultKind mKind = FaultKind::KillAndRestart;
  // From the time at which the faults were injected.
  Duration mAfter = Duration::zero();
  Duration mLength = Duration::zero();
  std::size_t mNumber = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const Fault& aFault);

// The deployment must stay where it is while it runs. All faults have ended once their length
// has passed.
void
InjectFaults(Deployment& aDeployment, const std::vector<Fault>& aFaults);

}
