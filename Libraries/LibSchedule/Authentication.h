#pragma once

#include "LibSchedule/Credential.h"
#include "LibSchedule/Model.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// Decides on whose behalf a caller calls: the tenant whose key it shows. The keys of a manifest are
// indexed once, when it is taken into force. Nothing here stores, logs or returns a key.
namespace sesameseam::schedule {

// A key of a manifest that is not used, or not by all tenants that list it.
struct KeyProblem
{
  TenantName mTenant;
  std::string mReason;
};

struct KeyIndex
{
  // False where the manifest has no tenants: calls then need no key.
  bool mIsRequired = false;
  std::size_t mTenantCount = 0;
  std::unordered_map<std::string, TenantName> mTenantOfKey;
  std::vector<KeyProblem> mProblems;
};

// A key that two tenants list belongs to the first of them, so that all hosts decide alike.
KeyIndex
MakeKeyIndex(const Manifest& aManifest);

// Returns the tenant that the key belongs to, or nullptr.
const TenantName*
FindTenant(const KeyIndex& aIndex, const std::string& aKey);

// How long after the manifest was last known to be the newest it still decides. Both are
// settings, from which a margin for clocks that run slow is taken off.
struct ManifestLimits
{
  // A change must be in force this long after it was stored: a caller is told that its key is
  // unknown only by a manifest that is newer.
  std::chrono::milliseconds mApplyDeadline{ 2000 };
  // No call may be served this long after its key was withdrawn, whatever this host can reach;
  // empty if the manifest in force serves calls however old it is.
  std::optional<std::chrono::milliseconds> mRevocationDeadline;
};

enum class Verdict
{
  Granted,
  // The caller has shown no key of the manifest, which is recent enough to say so.
  Unknown,
  // The manifest may be too old to decide. The call did nothing.
  Undecided,
};

struct AuthenticationResult
{
  Verdict mVerdict = Verdict::Undecided;
  // Empty where the call needs no key.
  TenantName mTenant;
  // Why the call is not granted, without the key.
  std::string mReason;
};

// Decides about one call. aManifestAge is the time since the manifest was last known to be the
// newest, counted up to the decision; empty if it never was.
AuthenticationResult
Authenticate(const KeyIndex& aIndex,
             const ManifestLimits& aLimits,
             std::optional<Duration> aManifestAge,
             const Route& aRoute,
             const Credential& aCredential);

}
