#include "LibFleet/Validate.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sesameseam {

namespace {

using Problems = std::vector<JsonProblem>;

bool
IsPrintable(const std::string& aText)
{
  return std::all_of(
    aText.begin(), aText.end(), [](char aByte) { return aByte > ' ' && aByte < '\x7f'; });
}

// Names appear in headers, labels of metrics and tables, so that they hold no spaces, quotes
// or control characters.
void
CheckName(const std::string& aKey, const std::string& aName, Problems& aProblems)
{
  bool plain = IsPrintable(aName) && aName.find_first_of("\"'\\,{}") == std::string::npos;
  if (aName.empty() || aName.size() > kMaxNameBytes || !plain) {
    aProblems.push_back(
      { aKey, "must be a name of 1 to 128 printable characters without spaces or quotes" });
  }
}

void
CheckOptionalName(const std::string& aKey, const std::string& aName, Problems& aProblems)
{
  if (!aName.empty()) {
    CheckName(aKey, aName, aProblems);
  }
}

void
CheckAddress(const std::string& aKey, const std::string& aAddress, Problems& aProblems)
{
  if (aAddress.empty() || aAddress.size() > kMaxAddressBytes || !IsPrintable(aAddress)) {
    aProblems.push_back({ aKey, "must be an address of 1 to 256 characters without spaces" });
  }
}

void
CheckText(const std::string& aKey, const std::string& aText, Problems& aProblems)
{
  if (aText.size() > kMaxTextBytes) {
    aProblems.push_back({ aKey, "must be at most 1000 bytes" });
  }
}

template<typename T>
void
CheckRange(const std::string& aKey, T aValue, T aLeast, T aMost, Problems& aProblems)
{
  // A value that is not a number is in no range.
  bool inRange = aValue >= aLeast && aValue <= aMost;
  if (!inRange) {
    aProblems.push_back({ aKey,
                          PrintJson(ToJsonValue(aValue)) + " is not between " +
                            PrintJson(ToJsonValue(aLeast)) + " and " +
                            PrintJson(ToJsonValue(aMost)) });
  }
}

void
CheckPreset(const std::string& aKey, const Preset& aPreset, Problems& aProblems)
{
  CheckName(aKey + ".name", aPreset.mName.mValue, aProblems);
  CheckRange(aKey + ".hosts", aPreset.mHosts, 0, kMaxHostsPerPool, aProblems);
  CheckRange(aKey + ".buffer", aPreset.mBuffer, 0, kMaxHostsPerPool, aProblems);
  CheckRange(aKey + ".long_share", aPreset.mLongShare, 0.0, 1.0, aProblems);
}

void
CheckPresets(const PoolDefined& aChange, Problems& aProblems)
{
  if (aChange.mPresets.empty() || aChange.mPresets.size() > kMaxPresets) {
    aProblems.push_back({ "presets", "must hold 1 to 64 presets" });
  }
  std::set<PresetName> seen;
  for (std::size_t i = 0; i < aChange.mPresets.size(); ++i) {
    const auto& preset = aChange.mPresets[i];
    auto key = detail::ItemPath("presets", i);
    CheckPreset(key, preset, aProblems);
    if (!seen.insert(preset.mName).second) {
      aProblems.push_back({ key + ".name", "the name '" + preset.mName.mValue + "' stands twice" });
    }
  }
  if (!seen.contains(aChange.mInForce)) {
    aProblems.push_back(
      { "in_force", "'" + aChange.mInForce.mValue + "' is none of the pool's presets" });
  }
}

void
Check(const PoolDefined& aChange, Problems& aProblems)
{
  CheckName("pool", aChange.mPool.mValue, aProblems);
  CheckPresets(aChange, aProblems);
  CheckRange("max_unavailable", aChange.mMaxUnavailable, 0, kMaxHostsPerPool, aProblems);
  CheckRange<Duration>(
    "attempt_timeout", aChange.mAttemptTimeout, 1ms, kMaxAttemptTimeout, aProblems);
}

void
Check(const PresetChosen& aChange, Problems& aProblems)
{
  CheckName("pool", aChange.mPool.mValue, aProblems);
  CheckName("preset", aChange.mPreset.mValue, aProblems);
}

void
Check(const HostAdded& aChange, Problems& aProblems)
{
  CheckName("host", aChange.mHost.mValue, aProblems);
  CheckName("pool", aChange.mPool.mValue, aProblems);
  CheckOptionalName("rack", aChange.mRack.mValue, aProblems);
  CheckOptionalName("zone", aChange.mZone.mValue, aProblems);
  CheckAddress("address", aChange.mAddress, aProblems);
  CheckRange("slots", aChange.mSlots, 1, kMaxSlotsPerHost, aProblems);
}

void
Check(const HostLeaving& aChange, Problems& aProblems)
{
  CheckName("host", aChange.mHost.mValue, aProblems);
  if (aChange.mDestination) {
    CheckName("destination", aChange.mDestination->mValue, aProblems);
  }
  if (aChange.mReason == LeaveReason::Move && !aChange.mDestination) {
    aProblems.push_back({ "destination", "is missing; a move needs the pool to move to" });
  }
  if (aChange.mReason == LeaveReason::Removal && aChange.mDestination) {
    aProblems.push_back({ "destination", "must be left out; a removed host joins no pool" });
  }
}

void
Check(const MaintenanceDeclared& aChange, Problems& aProblems)
{
  CheckName("maintenance", aChange.mMaintenance.mValue, aProblems);
  if (aChange.mHosts.empty() || aChange.mHosts.size() > kMaxHostsPerMaintenance) {
    aProblems.push_back({ "hosts", "must hold 1 to 10000 hosts" });
    return;
  }
  std::set<HostName> seen;
  for (std::size_t i = 0; i < aChange.mHosts.size(); ++i) {
    CheckName(detail::ItemPath("hosts", i), aChange.mHosts[i].mValue, aProblems);
    if (!seen.insert(aChange.mHosts[i]).second) {
      aProblems.push_back(
        { detail::ItemPath("hosts", i), "host '" + aChange.mHosts[i].mValue + "' stands twice" });
    }
  }
}

void
Check(const MaintenancePhaseChanged& aChange, Problems& aProblems)
{
  CheckName("maintenance", aChange.mMaintenance.mValue, aProblems);
  CheckText("reason", aChange.mReason, aProblems);
}

void
Check(const QuotaSet& aChange, Problems& aProblems)
{
  CheckName("pool", aChange.mPool.mValue, aProblems);
  CheckName("team", aChange.mTeam.mValue, aProblems);
  bool valid = std::isfinite(aChange.mWeight) && aChange.mWeight > 0.0;
  if (!valid || aChange.mWeight > kMaxTeamWeight) {
    aProblems.push_back({ "weight", "must be above 0 and at most 1000000" });
  }
}

void
Check(const MemberJoined& aChange, Problems& aProblems)
{
  CheckName("member", aChange.mMember.mValue, aProblems);
  CheckOptionalName("zone", aChange.mZone.mValue, aProblems);
  CheckAddress("peer_address", aChange.mPeerAddress, aProblems);
}

void
Check(const JobAccepted& aChange, Problems& aProblems)
{
  if (aChange.mJob.IsEmpty() || aChange.mJob.mValue.size() > kMaxJobIdBytes) {
    aProblems.push_back({ "job", "must be an id of 1 to 200 bytes" });
  }
  CheckName("pool", aChange.mPool.mValue, aProblems);
  bool valid = std::isfinite(aChange.mSlots) && aChange.mSlots > 0.0;
  if (!valid || aChange.mSlots > kMaxSlotsPerHost) {
    aProblems.push_back({ "slots", "must be above 0 and at most 1024" });
  }
}

// The other changes come from entry hosts and name what the fold knows already.
template<typename Other>
void
Check(const Other&, Problems&)
{
}

}

absl::Status
ValidateChange(const Change& aChange)
{
  Problems problems;
  std::visit([&](const auto& aAlternative) { Check(aAlternative, problems); }, aChange);
  if (problems.empty()) {
    return absl::OkStatus();
  }
  return MakeError(ErrorKind::BadField, DescribeProblems(problems));
}

}
