#include "LibFleet/Checkpoint.h"

#include "LibBase/Hash.h"

namespace sesameseam {

namespace {

// Claims travel as a list, since the keys of a JSON object are single names.
struct ClaimEntry
{
  ClaimKey mKey;
  ClaimState mClaim;
};

template<typename V>
void
VisitFields(V& aVisit, ClaimEntry& aEntry)
{
  aVisit("key", aEntry.mKey);
  aVisit("claim", aEntry.mClaim);
}

struct StateDocument
{
  FleetState mState;
  std::vector<ClaimEntry> mClaims;
};

// Every field of the state has to be named here, or a restored state lacks it.
template<typename V>
void
VisitFields(V& aVisit, StateDocument& aDocument)
{
  auto& state = aDocument.mState;
  aVisit("applied", state.mApplied, Presence::Required);
  aVisit("version", state.mVersion, Presence::Required);
  aVisit("member_epoch", state.mMemberEpoch, Presence::Required);
  aVisit("pools", state.mPools, Presence::Required);
  aVisit("hosts", state.mHosts, Presence::Required);
  aVisit("members", state.mMembers, Presence::Required);
  aVisit("maintenances", state.mMaintenances, Presence::Required);
  aVisit("leader", state.mLeader, Presence::Required);
  aVisit("jobs", state.mJobs, Presence::Required);
  aVisit("claims", aDocument.mClaims, Presence::Required);
  aVisit("claim_order", state.mClaimOrder, Presence::Required);
  aVisit("seen", state.mSeenOrder, Presence::Required);
  aVisit("audit", state.mAudit, Presence::Required);
  aVisit("in_force", state.mInForce, Presence::Required);
  aVisit("unreadable", state.mUnreadable, Presence::Required);
  aVisit("checkpoints", state.mCheckpoints, Presence::Required);
}

// The end of a piece that starts here, such that no UTF-8 sequence is cut.
std::size_t
FindPartEnd(const std::string& aText, std::size_t aStart, std::size_t aBytes)
{
  auto end = std::min(aStart + std::max<std::size_t>(aBytes, 4), aText.size());
  while (end < aText.size() && (static_cast<unsigned char>(aText[end]) & 0xC0) == 0x80) {
    --end;
  }
  return end;
}

}

std::string
EncodeState(const FleetState& aState)
{
  StateDocument document;
  document.mState = aState;
  for (const auto& [key, claim] : aState.mClaims) {
    document.mClaims.push_back({ key, claim });
  }
  return ToJson(document);
}

absl::StatusOr<FleetState>
DecodeState(const std::string& aText, const std::string& aHash)
{
  if (HashText(aText) != aHash) {
    return MakeError(ErrorKind::RecordUnreadable, "the hash of the state differs");
  }
  auto document = TRY(FromJson<StateDocument>(aText));
  auto state = std::move(document.mState);
  for (auto& entry : document.mClaims) {
    state.mClaims.emplace(std::move(entry.mKey), std::move(entry.mClaim));
  }
  state.mSeenIds.insert(state.mSeenOrder.begin(), state.mSeenOrder.end());
  return state;
}

std::string
HashText(const std::string& aText)
{
  return std::to_string(StableHash(aText));
}

std::vector<CheckpointPart>
MakeCheckpoint(const FleetState& aState, const std::string& aId, std::size_t aPartBytes)
{
  auto text = EncodeState(aState);
  std::vector<CheckpointPart> parts;
  for (std::size_t start = 0; start < text.size();) {
    auto end = FindPartEnd(text, start, aPartBytes);
    CheckpointPart part;
    part.mCheckpoint = aId;
    part.mOffset = aState.mApplied;
    part.mPart = std::ssize(parts);
    part.mText = text.substr(start, end - start);
    part.mHash = HashText(part.mText);
    parts.push_back(std::move(part));
    start = end;
  }
  for (auto& part : parts) {
    part.mParts = std::ssize(parts);
  }
  return parts;
}

absl::Status
VerifyPart(const CheckpointPart& aPart)
{
  if (HashText(aPart.mText) != aPart.mHash) {
    return MakeError(ErrorKind::RecordUnreadable, "the hash of the part differs");
  }
  return absl::OkStatus();
}

absl::StatusOr<FleetState>
AssembleCheckpoint(const std::vector<CheckpointPart>& aParts)
{
  std::string text;
  for (const auto& part : aParts) {
    TRY(VerifyPart(part));
    if (part.mPart != &part - aParts.data() || part.mParts != std::ssize(aParts)) {
      return MakeError(ErrorKind::RecordUnreadable, "a part is missing");
    }
    text += part.mText;
  }
  return DecodeState(text, HashText(text));
}

}
