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

// Passive health checking: target health as observed from the attempts of this entry host.
struct Health
{
  // Only targets whose last attempt failed or was slow.
  std::map<HostName, TargetHealth> mTargets;
  // Ejected targets, which receive no requests, ordered by the end of their ejection.
  std::set<std::pair<TimePoint, HostName>> mEjected;
};

constexpr int kFailuresToEject = 3;
constexpr Duration kBaseEjection = 1s;
constexpr Duration kMaxEjection = 30s;

// An attempt that takes this many times its expected run time counts as a failure of the target.
constexpr int kSlowFactor = 4;

void
RecordSuccess(Health& aHealth, const HostName& aTarget);
void
RecordFailure(Health& aHealth, const HostName& aTarget, TimePoint aNow);

// Ends ejections whose time is over. The target receives requests again; one more failure ejects it
// for twice as long.
void
EndEjections(Health& aHealth, TimePoint aNow);

// True from the ejection until EndEjections removes it.
bool
IsEjected(const Health& aHealth, const HostName& aTarget);

// Removes the state of a target that has left the pool.
void
ForgetTarget(Health& aHealth, const HostName& aTarget);

}
