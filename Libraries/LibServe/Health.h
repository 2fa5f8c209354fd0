#pragma once

#include "LibBase/Id.h"
#include "LibBase/Time.h"

#include <map>
#include <set>

namespace sesameseam {

struct TargetHealth
{
  int mFailuresInRow = 0;
  int mEjections = 0;
  TimePoint mEjectedUntil;
};

// What this entry host has seen of each target.
struct Health
{
  // Targets whose last attempt failed or was slow.
  std::map<HostName, TargetHealth> mTargets;
  // Targets that get no work, by the end of their ejection.
  std::set<std::pair<TimePoint, HostName>> mEjected;
};

constexpr int kFailuresToEject = 3;
constexpr Duration kBaseEjection = 1s;
constexpr Duration kMaxEjection = 30s;

// An attempt that takes this many times what was expected counts as a failure of the target.
constexpr int kSlowFactor = 4;

void
RecordSuccess(Health& aHealth, const HostName& aTarget);
void
RecordFailure(Health& aHealth, const HostName& aTarget, TimePoint aNow);

// Ends the ejections that are over. The target is tried again; one more failure ejects it for
// twice as long.
void
EndEjections(Health& aHealth, TimePoint aNow);

// True until EndEjections finds the ejection over.
bool
IsEjected(const Health& aHealth, const HostName& aTarget);

// Forgets a target that has left the pool.
void
ForgetTarget(Health& aHealth, const HostName& aTarget);

}
