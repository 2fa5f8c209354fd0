#include "LibServe/Health.h"

#include <algorithm>

namespace sesameseam {

namespace {

constexpr int kMaxDoublings = 5;

Duration
EjectionDuration(int aEjections)
{
  return std::min(kBaseEjection * (1 << std::min(aEjections, kMaxDoublings)), kMaxEjection);
}

}

void
RecordSuccess(Health& aHealth, const HostName& aTarget)
{
  ForgetTarget(aHealth, aTarget);
}

void
RecordFailure(Health& aHealth, const HostName& aTarget, TimePoint aNow)
{
  auto& target = aHealth.mTargets[aTarget];
  target.mFailuresInRow += 1;
  if (target.mFailuresInRow < kFailuresToEject || IsEjected(aHealth, aTarget)) {
    return;
  }
  target.mEjectedUntil = aNow + EjectionDuration(target.mEjections);
  target.mEjections += 1;
  aHealth.mEjected.emplace(target.mEjectedUntil, aTarget);
}

void
EndEjections(Health& aHealth, TimePoint aNow)
{
  while (!aHealth.mEjected.empty() && aHealth.mEjected.begin()->first <= aNow) {
    aHealth.mEjected.erase(aHealth.mEjected.begin());
  }
}

bool
IsEjected(const Health& aHealth, const HostName& aTarget)
{
  auto found = aHealth.mTargets.find(aTarget);
  return found != aHealth.mTargets.end() &&
         aHealth.mEjected.contains({ found->second.mEjectedUntil, aTarget });
}

void
ForgetTarget(Health& aHealth, const HostName& aTarget)
{
  auto found = aHealth.mTargets.find(aTarget);
  if (found == aHealth.mTargets.end()) {
    return;
  }
  aHealth.mEjected.erase({ found->second.mEjectedUntil, aTarget });
  aHealth.mTargets.erase(found);
}

}
