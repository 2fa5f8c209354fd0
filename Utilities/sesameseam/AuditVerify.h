#pragma once

#include "LibDaemon/OperatorApi.h"

#include <string>
#include <vector>

namespace sesameseam {

// One place where what is differs from what was chosen.
struct AuditDifference
{
  std::string mSubject;
  std::string mExpected;
  std::string mActual;
};

template<typename V>
void
VisitFields(V& aVisit, AuditDifference& aDifference)
{
  aVisit("subject", aDifference.mSubject);
  aVisit("chosen", aDifference.mExpected);
  aVisit("found", aDifference.mActual);
}

// Holds the accepted changes of the trail against the state of the fleet: presets in force,
// versions on the members, maintenance, and moves under way.
std::vector<AuditDifference>
VerifyAudit(const std::vector<Decision>& aAudit, const StatusReply& aStatus);

// The time in UTC, as 2026-12-03T08:00:00Z.
std::string
FormatTime(TimePoint aTime);

}
