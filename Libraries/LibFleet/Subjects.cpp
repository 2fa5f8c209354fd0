#include "LibFleet/Subjects.h"

namespace sesameseam {

namespace {

std::string
DescribeSubject(const PoolDefined& aChange)
{
  return "pool " + aChange.mPool.mValue;
}

std::string
DescribeSubject(const PresetChosen& aChange)
{
  return "pool " + aChange.mPool.mValue + " preset " + aChange.mPreset.mValue;
}

std::string
DescribeSubject(const HostAdded& aChange)
{
  return "host " + aChange.mHost.mValue + " pool " + aChange.mPool.mValue;
}

std::string
DescribeSubject(const HostLeaving& aChange)
{
  auto subject = "host " + aChange.mHost.mValue + " for " + std::string(EnumName(aChange.mReason));
  return aChange.mExplanation.empty() ? subject : subject + ": " + aChange.mExplanation;
}

std::string
DescribeSubject(const HostDrained& aChange)
{
  return "host " + aChange.mHost.mValue;
}

std::string
DescribeSubject(const HostJoined& aChange)
{
  return "host " + aChange.mHost.mValue + " pool " + aChange.mPool.mValue;
}

std::string
DescribeSubject(const HostRebootRequested& aChange)
{
  return "host " + aChange.mHost.mValue + " after boot " + std::to_string(aChange.mBoots);
}

std::string
DescribeSubject(const HostFailed& aChange)
{
  return "host " + aChange.mHost.mValue + " " + std::string(EnumName(aChange.mFailure));
}

std::string
DescribeSubject(const HostRecovered& aChange)
{
  return "host " + aChange.mHost.mValue;
}

std::string
DescribeSubject(const MaintenanceDeclared& aChange)
{
  return "maintenance " + aChange.mMaintenance.mValue;
}

std::string
DescribeSubject(const MaintenancePhaseChanged& aChange)
{
  return "maintenance " + aChange.mMaintenance.mValue + " " + std::string(EnumName(aChange.mPhase));
}

std::string
DescribeSubject(const QuotaSet& aChange)
{
  return "pool " + aChange.mPool.mValue + " team " + aChange.mTeam.mValue;
}

std::string
DescribeSubject(const MemberJoined& aChange)
{
  return "member " + aChange.mMember.mValue;
}

std::string
DescribeSubject(const MemberRemoved& aChange)
{
  return "member " + aChange.mMember.mValue;
}

std::string
DescribeSubject(const LeaderElected& aChange)
{
  return "member " + aChange.mMember.mValue + " epoch " + std::to_string(aChange.mEpoch);
}

std::string
DescribeSubject(const ClaimBatch&)
{
  return "claims";
}

std::string
DescribeSubject(const InForceReported& aChange)
{
  return "version " + std::to_string(aChange.mVersion);
}

std::string
DescribeSubject(const CheckpointPart& aChange)
{
  return "offset " + std::to_string(aChange.mOffset) + " part " +
         std::to_string(aChange.mPart + 1) + " of " + std::to_string(aChange.mParts);
}

std::string
DescribeSubject(const JobAccepted& aChange)
{
  return "job " + aChange.mJob.mValue + " pool " + aChange.mPool.mValue;
}

std::string
DescribeSubject(const JobAssigned& aChange)
{
  return "job " + aChange.mJob.mValue + " host " + aChange.mWorker.mValue + " epoch " +
         std::to_string(aChange.mEpoch);
}

std::string
DescribeSubject(const JobEnded& aChange)
{
  return "job " + aChange.mJob.mValue + " " + std::string(EnumName(aChange.mEnd)) + " epoch " +
         std::to_string(aChange.mEpoch);
}

std::string
DescribeSubject(const JobsCheckpointed& aChange)
{
  return std::to_string(aChange.mJobs.size()) + " jobs";
}

std::string
DescribeSubject(const JobsCancelled& aChange)
{
  return std::to_string(aChange.mJobs.size()) + " jobs";
}

std::string
DescribeSubject(const WorkerQuarantined& aChange)
{
  return "host " + aChange.mWorker.mValue + (aChange.mQuarantined ? "" : " freed");
}

}

std::string
DescribeSubject(const Change& aChange)
{
  return std::visit([](const auto& aAlternative) { return DescribeSubject(aAlternative); },
                    aChange);
}

}
