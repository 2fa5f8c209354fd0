#pragma once

#include <cstdint>
#include <string_view>

namespace sesameseam {

// A hash that is the same on every entry host and in every version.
std::uint64_t
StableHash(std::string_view aText, std::uint64_t aSeed = 0);

// The weight of a member for a key in rendezvous hashing; the highest weight wins.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aMember);

}
