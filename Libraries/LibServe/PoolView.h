#pragma once

#include "LibBase/Id.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sesameseam {

struct TargetView
{
  HostName mHost;
  std::string mAddress;
  int mSlots = 0;

  bool operator==(const TargetView&) const = default;
};

// The part of the configuration that is needed to serve a pool, at one version.
struct PoolView
{
  PoolName mPool;
  std::int64_t mVersion = -1;
  // Incremented with each change of the member set.
  std::int64_t mMemberEpoch = 0;
  // The hosts that may receive new requests, sorted by name.
  std::vector<TargetView> mTargets;
  // The member set of entry hosts, sorted by name.
  std::vector<MemberName> mMembers;
  std::map<TeamName, double> mQuotas;
  double mLongShare = 0.5;
  Duration mAttemptTimeout = 10s;
};

}
