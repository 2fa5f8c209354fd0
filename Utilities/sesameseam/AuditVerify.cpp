#include "AuditVerify.h"

#include <absl/time/time.h>

#include <map>

namespace sesameseam {

namespace {

using Differences = std::vector<AuditDifference>;

// Returns the last accepted preset of each pool, keyed by "pool NAME". The audit trail records a
// choice under the subject "pool NAME preset PRESET". A later definition of the pool brings its own
// preset, so it discards the earlier choice.
std::map<std::string, std::string>
ChosenPresets(const std::vector<Decision>& aAudit)
{
  std::map<std::string, std::string> chosen;
  for (const auto& entry : aAudit) {
    if (!entry.mAccepted) {
      continue;
    }
    auto preset = entry.mSubject.find(" preset ");
    if (entry.mKind == "preset-chosen" && preset != std::string::npos) {
      chosen[entry.mSubject.substr(0, preset)] = entry.mSubject.substr(preset + 8);
    } else if (entry.mKind == "pool-defined") {
      chosen.erase(entry.mSubject);
    }
  }
  return chosen;
}

void
VerifyPresets(const std::vector<Decision>& aAudit,
              const StatusReply& aStatus,
              Differences& aDifferences)
{
  auto chosen = ChosenPresets(aAudit);
  for (const auto& pool : aStatus.mPools) {
    auto subject = "pool " + pool.mDefinition.mPool.mValue;
    auto found = chosen.find(subject);
    if (found != chosen.end() && found->second != pool.mInForce.mValue) {
      aDifferences.push_back(
        { subject, "preset " + found->second, "preset " + pool.mInForce.mValue });
    }
  }
}

void
VerifyMembers(const std::vector<Decision>& aAudit,
              const StatusReply& aStatus,
              Differences& aDifferences)
{
  Offset last = kNoOffset;
  for (const auto& entry : aAudit) {
    last = entry.mAccepted ? std::max(last, entry.mOffset) : last;
  }
  for (const auto& member : aStatus.mMembers) {
    if (member.mVersion < last) {
      aDifferences.push_back({ "member " + member.mMember.mValue,
                               "version " + std::to_string(last),
                               "version " + std::to_string(member.mVersion) });
    }
  }
}

void
VerifyMaintenance(const StatusReply& aStatus, Differences& aDifferences)
{
  for (const auto& maintenance : aStatus.mMaintenances) {
    if (maintenance.mFinished == maintenance.mHosts ||
        maintenance.mPhase == MaintenancePhase::Cancelled) {
      continue;
    }
    aDifferences.push_back({ "maintenance " + maintenance.mMaintenance.mValue,
                             std::to_string(maintenance.mHosts) + " hosts",
                             std::to_string(maintenance.mFinished) + " finished, " +
                               std::string(EnumName(maintenance.mPhase)) + " " +
                               maintenance.mReason });
  }
}

void
VerifyHosts(const StatusReply& aStatus, Differences& aDifferences)
{
  for (const auto& host : aStatus.mHosts) {
    if (host.mPhase == HostPhase::InService) {
      continue;
    }
    auto chosen = "pool " + host.mDestination.value_or(host.mPool).mValue;
    if (host.mReason == LeaveReason::Removal) {
      chosen = "removed";
    }
    aDifferences.push_back(
      { "host " + host.mHost.mValue,
        chosen,
        std::string(EnumName(host.mPhase)) + " since " + FormatTime(host.mPhaseSince) });
  }
}

}

std::vector<AuditDifference>
VerifyAudit(const std::vector<Decision>& aAudit, const StatusReply& aStatus)
{
  Differences differences;
  VerifyPresets(aAudit, aStatus, differences);
  VerifyMembers(aAudit, aStatus, differences);
  VerifyMaintenance(aStatus, differences);
  VerifyHosts(aStatus, differences);
  return differences;
}

std::string
FormatTime(TimePoint aTime)
{
  auto time = absl::FromUnixMicros(aTime.time_since_epoch().count());
  return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", time, absl::UTCTimeZone());
}

}
