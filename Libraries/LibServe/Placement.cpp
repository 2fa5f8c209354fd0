#include "LibServe/Placement.h"

#include "LibServe/Admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sesameseam {

namespace {

// If a larger share of the targets is ejected, ejections are ignored: the failures then have a
// common cause other than the targets themselves.
constexpr double kMaxEjectedShare = 0.5;

// The minimum share of the started work that each class gets while it has queued requests.
constexpr std::array kGuaranteedShares = { 0.0, 0.05, 0.05 };

// A request moves to a peer only if the local wait exceeds the wait there by this factor and by
// kMinWaitSaved, since load reports are up to one exchange old.
constexpr int kWaitRatioPercent = 125;
constexpr Duration kMinWaitSaved = 100ms;

// Random picks of a target before falling back to a linear search.
constexpr int kMaxRandomPicks = 8;

bool
IgnoresEjections(const PoolServer& aServer)
{
  auto ejected = static_cast<double>(aServer.mHealth.mEjected.size());
  return ejected > kMaxEjectedShare * static_cast<double>(aServer.mView.mTargets.size());
}

bool
IsUsable(const PoolServer& aServer, const HostName& aHost)
{
  return !IsEjected(aServer.mHealth, aHost) || IgnoresEjections(aServer);
}

// The owned slots that are free or in use, without those of ejected targets.
int
UsableSlots(const PoolServer& aServer)
{
  auto slots = aServer.mSlots.mFree.mFree + aServer.mSlots.mFree.mInUse;
  const auto& ejected = aServer.mHealth.mEjected;
  bool ignored = IgnoresEjections(aServer);
  for (auto it = ejected.begin(); it != ejected.end() && !ignored; ++it) {
    const auto& host = it->second;
    slots -= FreeOrInUseOn(aServer.mSlots.mFree, host);
  }
  // Counts at least one slot if any is owned, so that requests stay queued until an ejection, a
  // fence or a hold ends.
  return std::max(slots, aServer.mSlots.mOwned.empty() ? 0 : 1);
}

std::size_t
PickIndex(PoolServer& aServer, std::size_t aCount)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(aServer.mRandom);
}

// Picks a random usable target with a free slot. There must be at least one.
const HostName&
PickTarget(PoolServer& aServer)
{
  const auto& open = aServer.mSlots.mFree.mAvailable;
  for (int i = 0; i < kMaxRandomPicks; ++i) {
    const auto& host = open[PickIndex(aServer, open.size())];
    if (IsUsable(aServer, host)) {
      return host;
    }
  }
  return *std::find_if(
    open.begin(), open.end(), [&](const auto& aHost) { return IsUsable(aServer, aHost); });
}

int
FreeSlotsAt(const PeerLoad& aPeer)
{
  return aPeer.mReport.mFreeSlots - aPeer.mSentSince;
}

bool
HasFreeSlot(const PeerLoad& aPeer, RequestClass aClass)
{
  auto index = static_cast<std::size_t>(aClass);
  bool waits = aPeer.mReport.mWaits && (*aPeer.mReport.mWaits)[index] > Duration::zero();
  return !waits && !aPeer.mDeclined[index] && FreeSlotsAt(aPeer) > 0;
}

bool
IsCurrent(const PoolServer& aServer, const PeerLoad& aPeer, TimePoint aNow)
{
  return aNow - aPeer.mReport.mAt <= aServer.mSettings.mLoadStaleAfter;
}

// Leaves the queueing to a peer that owns slots of the pool.
std::optional<PeerChoice>
ChooseServingPeer(PoolServer& aServer, TimePoint aNow)
{
  std::vector<MemberName> candidates;
  for (const auto& member : ServingMembers(aServer.mView)) {
    auto peer = aServer.mPeers.find(member);
    if (peer != aServer.mPeers.end() && IsCurrent(aServer, peer->second, aNow)) {
      candidates.push_back(member);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return PeerChoice{ candidates[PickIndex(aServer, candidates.size())], true };
}

// The wait that the peer reported, plus the estimated effect of requests forwarded to it since. The
// other entry hosts have the same report and are assumed to have forwarded as many.
Duration
EstimatedWaitAt(const PoolServer& aServer, const PeerLoad& aPeer, RequestClass aClass)
{
  const auto& queue = QueueOf(aServer.mQueue, aClass);
  auto queued = std::max<std::int64_t>(1, static_cast<std::int64_t>(queue.mSize));
  auto members = static_cast<std::int64_t>(aServer.mPeers.size());
  auto sent = aPeer.mSentSince * members;
  auto reported = (*aPeer.mReport.mWaits)[static_cast<std::size_t>(aClass)];
  return reported + queue.mWork / queued * sent / kMinSlotsForMember;
}

// The local wait above which requests of the class are moved to the peer; nullopt if it takes none.
std::optional<Duration>
MoveThreshold(const PoolServer& aServer, const PeerLoad& aPeer, TimePoint aNow, RequestClass aClass)
{
  bool declined = aPeer.mDeclined[static_cast<std::size_t>(aClass)];
  if (!IsCurrent(aServer, aPeer, aNow) || declined || !aPeer.mReport.mWaits) {
    return std::nullopt;
  }
  return EstimatedWaitAt(aServer, aPeer, aClass) * kWaitRatioPercent / 100 + kMinWaitSaved;
}

}

int
SlotsFor(const PoolServer& aServer, RequestClass aClass)
{
  auto slots = UsableSlots(aServer);
  if (aClass != RequestClass::Long) {
    return slots;
  }
  auto share = static_cast<int>(std::floor(aServer.mView.mLongShare * slots));
  return std::clamp(share, std::min(1, slots), slots);
}

int
FreeSlots(const PoolServer& aServer)
{
  auto free = aServer.mSlots.mFree.mFree;
  if (IgnoresEjections(aServer)) {
    return free;
  }
  for (const auto& [until, host] : aServer.mHealth.mEjected) {
    free -= FreeOn(aServer.mSlots.mFree, host);
  }
  return free;
}

int
FreeSlotsFor(const PoolServer& aServer, RequestClass aClass)
{
  auto free = FreeSlots(aServer);
  if (aClass != RequestClass::Long) {
    return free;
  }
  auto left = SlotsFor(aServer, aClass) - aServer.mRunningLong;
  return std::clamp(left, 0, free);
}

std::vector<RequestClass>
ClassOrder(const PoolServer& aServer)
{
  std::vector<RequestClass> order;
  std::vector<RequestClass> rest;
  for (auto next : { RequestClass::Urgent, RequestClass::Ordinary, RequestClass::Long }) {
    auto guaranteed = kGuaranteedShares[static_cast<std::size_t>(next)];
    bool isShort = ShareOf(aServer.mStarted, next) < guaranteed;
    (isShort ? order : rest).push_back(next);
  }
  order.insert(order.end(), rest.begin(), rest.end());
  return order;
}

std::optional<SlotId>
ChooseSlot(PoolServer& aServer, RequestClass aClass)
{
  if (FreeSlotsFor(aServer, aClass) == 0) {
    return std::nullopt;
  }
  const auto& index = aServer.mSlots.mFree;
  const auto& first = PickTarget(aServer);
  const auto& second = PickTarget(aServer);
  bool firstIsBetter = InUseOn(index, first) <= InUseOn(index, second);
  return FreeSlotOf(index, firstIsBetter ? first : second);
}

std::optional<Duration>
LowestMoveThreshold(const PoolServer& aServer, TimePoint aNow, RequestClass aClass)
{
  std::optional<Duration> shortest;
  for (const auto& [member, load] : aServer.mPeers) {
    auto wait = MoveThreshold(aServer, load, aNow, aClass);
    if (wait && (!shortest || *wait < *shortest)) {
      shortest = wait;
    }
  }
  return shortest;
}

std::optional<PeerChoice>
ChooseShorterQueue(PoolServer& aServer, TimePoint aNow, RequestClass aClass)
{
  auto here = LocalWaits(aServer);
  if (!here) {
    return std::nullopt;
  }
  std::vector<MemberName> candidates;
  for (const auto& [member, load] : aServer.mPeers) {
    auto limit = MoveThreshold(aServer, load, aNow, aClass);
    if (limit && *limit < (*here)[static_cast<std::size_t>(aClass)]) {
      candidates.push_back(member);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return PeerChoice{ candidates[PickIndex(aServer, candidates.size())], true };
}

std::optional<PeerChoice>
ChoosePeer(PoolServer& aServer, TimePoint aNow, RequestClass aClass)
{
  std::vector<MemberName> candidates;
  for (const auto& [member, load] : aServer.mPeers) {
    if (IsCurrent(aServer, load, aNow) && HasFreeSlot(load, aClass)) {
      candidates.push_back(member);
    }
  }
  if (candidates.empty()) {
    return aServer.mSlots.mOwned.empty() ? ChooseServingPeer(aServer, aNow) : std::nullopt;
  }
  const auto& first = candidates[PickIndex(aServer, candidates.size())];
  const auto& second = candidates[PickIndex(aServer, candidates.size())];
  bool firstIsBetter =
    FreeSlotsAt(aServer.mPeers.at(first)) >= FreeSlotsAt(aServer.mPeers.at(second));
  return PeerChoice{ firstIsBetter ? first : second, false };
}

}
