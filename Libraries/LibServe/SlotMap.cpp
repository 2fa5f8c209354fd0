#include "LibServe/SlotMap.h"

#include "LibBase/Hash.h"

#include <algorithm>

namespace sesameseam {

namespace {

struct WeighedMember
{
  std::uint64_t mWeight = 0;
  MemberName mMember;

  auto operator<=>(const WeighedMember&) const = default;
};

std::vector<WeighedMember>
RankMembers(const std::string& aKey, const std::vector<MemberName>& aMembers)
{
  std::vector<WeighedMember> ranked;
  ranked.reserve(aMembers.size());
  for (const auto& member : aMembers) {
    ranked.push_back({ RendezvousWeight(aKey, member.mValue), member });
  }
  std::sort(ranked.rbegin(), ranked.rend());
  return ranked;
}

int
CountSlots(const PoolView& aView)
{
  int slots = 0;
  for (const auto& target : aView.mTargets) {
    slots += target.mSlots;
  }
  return slots;
}

std::vector<SlotId>
SlotsInHashOrder(const PoolView& aView)
{
  std::vector<std::pair<std::uint64_t, SlotId>> hashed;
  for (const auto& target : aView.mTargets) {
    for (int index = 0; index < target.mSlots; ++index) {
      hashed.emplace_back(StableHash(target.mHost.mValue, static_cast<std::uint64_t>(index)),
                          SlotId{ target.mHost, index });
    }
  }
  std::sort(hashed.begin(), hashed.end());
  std::vector<SlotId> slots;
  slots.reserve(hashed.size());
  for (auto& entry : hashed) {
    slots.push_back(std::move(entry.second));
  }
  return slots;
}

}

std::vector<MemberName>
ServingMembers(const PoolView& aView)
{
  auto wanted = static_cast<std::size_t>(std::max(1, CountSlots(aView) / kMinSlotsForMember));
  auto ranked = RankMembers(aView.mPool.mValue, aView.mMembers);
  std::vector<MemberName> members;
  for (std::size_t i = 0; i < ranked.size() && i < wanted; ++i) {
    members.push_back(ranked[i].mMember);
  }
  return members;
}

std::map<SlotId, MemberName>
AssignSlots(const PoolView& aView)
{
  std::map<SlotId, MemberName> owners;
  auto members = ServingMembers(aView);
  if (members.empty()) {
    return owners;
  }
  auto slots = SlotsInHashOrder(aView);
  // Bounds the number of slots of each member, so that the shares are even.
  auto bound = (slots.size() + members.size() - 1) / members.size();
  std::map<MemberName, std::size_t> taken;
  for (const auto& slot : slots) {
    auto key = slot.mHost.mValue + "/" + std::to_string(slot.mIndex);
    for (const auto& candidate : RankMembers(key, members)) {
      if (taken[candidate.mMember] < bound) {
        taken[candidate.mMember] += 1;
        owners.emplace(slot, candidate.mMember);
        break;
      }
    }
  }
  return owners;
}

}
