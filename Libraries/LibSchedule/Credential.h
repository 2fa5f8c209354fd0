#pragma once

#include <string>

// What a caller showed to prove on whose behalf it calls, as it was translated from the wire.
namespace sesameseam::schedule {

enum class CredentialKind
{
  Absent,
  // A key that can be looked up.
  Bearer,
  // Something that names no key: another scheme, several credentials, characters no key has.
  Malformed,
};

struct Credential
{
  CredentialKind mKind = CredentialKind::Absent;
  // A secret; never to be logged. Empty unless the kind is Bearer.
  std::string mKey;
  // Why it is malformed, without any part of what was sent.
  std::string mProblem;
};

// What a key may consist of: that many visible ASCII characters.
inline constexpr std::size_t kMaxKeyBytes = 512;

inline bool
IsUsableKey(const std::string& aKey)
{
  if (aKey.empty() || aKey.size() > kMaxKeyBytes) {
    return false;
  }
  for (unsigned char character : aKey) {
    if (character <= ' ' || character > '~') {
      return false;
    }
  }
  return true;
}

}
