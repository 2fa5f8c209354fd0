#include "LibBase/Hash.h"

#include <xxhash.h>

namespace sesameseam {

std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aMember)
{
  return StableHash(aMember, StableHash(aKey));
}

}
