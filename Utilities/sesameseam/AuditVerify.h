#pragma once

#include "LibDaemon/OperatorApi.h"

#include <string>
#include <vector>

namespace sesameseam {

// A difference between the state that the accepted changes call for and the actual state.
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

// Compares the accepted changes of the audit trail with the state of the fleet. Reports presets and
// member versions that differ, unfinished maintenance, and hosts that are not in service.
std::vector<AuditDifference>
VerifyAudit(const std::vector<Decision>& aAudit, const StatusReply& aStatus);

// Formats the time in UTC, such as 2026-12-03T08:00:00Z.
std::string
FormatTime(TimePoint aTime);

}
