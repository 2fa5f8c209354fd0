#include "LibSchedule/Authentication.h"

namespace sesameseam::schedule {

namespace {

// A host's clock may run this much slow, and so may the one by which the deadline is measured.
constexpr int kClockDriftPercent = 2;
constexpr int kPercent = 100;

// Whether the manifest is known to hold all that was stored up to the deadline before now.
bool
IsWithin(std::optional<Duration> aManifestAge, Duration aDeadline)
{
  return aManifestAge &&
         *aManifestAge <= aDeadline * (kPercent - 2 * kClockDriftPercent) / kPercent;
}

std::string
WhyUnknown(const Credential& aCredential)
{
  switch (aCredential.mKind) {
    case CredentialKind::Absent:
      return "the call shows no key";
    case CredentialKind::Malformed:
      return aCredential.mProblem;
    case CredentialKind::Bearer:
      break;
  }
  return "the key is not known";
}

}

KeyIndex
MakeKeyIndex(const Manifest& aManifest)
{
  KeyIndex index;
  index.mIsRequired = !aManifest.mTenants.empty() || aManifest.mHasUnreadableTenants;
  index.mTenantCount = aManifest.mTenants.size();
  for (const auto& tenant : aManifest.mTenants) {
    for (const auto& key : tenant.mKeys) {
      if (!IsUsableKey(key)) {
        index.mProblems.push_back({ tenant.mName, "no caller can send one of its keys" });
        continue;
      }
      auto [known, isNew] = index.mTenantOfKey.try_emplace(key, tenant.mName);
      if (!isNew && known->second != tenant.mName) {
        index.mProblems.push_back(
          { tenant.mName, "one of its keys belongs to " + known->second.mValue });
      }
    }
  }
  return index;
}

const TenantName*
FindTenant(const KeyIndex& aIndex, const std::string& aKey)
{
  auto found = aIndex.mTenantOfKey.find(aKey);
  return found == aIndex.mTenantOfKey.end() ? nullptr : &found->second;
}

AuthenticationResult
Authenticate(const KeyIndex& aIndex,
             const ManifestLimits& aLimits,
             std::optional<Duration> aManifestAge,
             const Route& aRoute,
             const Credential& aCredential)
{
  if (!aIndex.mIsRequired || aRoute.mIsPublic) {
    return { Verdict::Granted, {}, {} };
  }
  const auto* tenant =
    aCredential.mKind == CredentialKind::Bearer ? FindTenant(aIndex, aCredential.mKey) : nullptr;
  if (tenant == nullptr) {
    // The key may have been added, or the route made public, by a manifest that is not read yet.
    if (!IsWithin(aManifestAge, aLimits.mApplyDeadline)) {
      return { Verdict::Undecided, {}, "whether the key is known cannot be told now" };
    }
    return { Verdict::Unknown, {}, WhyUnknown(aCredential) };
  }
  const auto& deadline = aLimits.mRevocationDeadline;
  if (deadline && !IsWithin(aManifestAge, *deadline)) {
    return { Verdict::Undecided, *tenant, "whether the key is still valid cannot be told now" };
  }
  return { Verdict::Granted, *tenant, {} };
}

}
