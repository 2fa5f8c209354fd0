#include "LibEntry/Recovery.h"

#include <algorithm>

namespace sesameseam {

namespace {

// A log of this length is folded from its start; beyond, a checkpoint is looked for.
constexpr Offset kFirstWindow = 2000;
constexpr Offset kWindowGrowth = 4;

constexpr std::size_t kRecentBytes = 4 * 1024 * 1024;

constexpr Offset kCheckpointRecords = 20000;
constexpr std::size_t kCheckpointBytes = 16 * 1024 * 1024;
// A checkpoint follows once this share of what the log keeps is newer than the last one.
constexpr Offset kRetentionShare = 4;
constexpr Duration kCheckpointInterval = 2s;
// Bounds what a log that keeps records for a time holds without a checkpoint.
constexpr Duration kCheckpointMaxAge = std::chrono::hours(1);

// What a checkpoint part looks like in the log, so that other records are not decoded here.
constexpr std::string_view kPartMark = "\"checkpoint-part\"";

void
SetWindow(Recovery& aRecovery, Offset aStart)
{
  aRecovery.mWindowStart = aStart;
  aRecovery.mNext = aStart;
  aRecovery.mEntries.clear();
  aRecovery.mParts.clear();
}

void
CollectPart(Recovery& aRecovery, const LogEntry& aEntry)
{
  if (aEntry.mText.find(kPartMark) == std::string::npos) {
    return;
  }
  auto record = DecodeRecord(aEntry.mText);
  if (!record.ok()) {
    return;
  }
  const auto* part = std::get_if<CheckpointPart>(&record->mChange);
  if (part == nullptr || !VerifyPart(*part).ok()) {
    return;
  }
  auto& parts = aRecovery.mParts[part->mCheckpoint];
  // A repeated append gives a part twice.
  if (part->mPart == std::ssize(parts)) {
    parts.push_back(*part);
  }
}

void
Collect(Recovery& aRecovery, const LogRead& aRead)
{
  for (const auto& entry : aRead.mEntries) {
    if (entry.mOffset != aRecovery.mNext) {
      continue;
    }
    CollectPart(aRecovery, entry);
    aRecovery.mEntries.push_back(entry);
    aRecovery.mNext += 1;
  }
}

// Complete checkpoints above the applied offset, the newest first.
std::vector<const std::vector<CheckpointPart>*>
CompleteCheckpoints(const Recovery& aRecovery, Offset aApplied)
{
  std::vector<const std::vector<CheckpointPart>*> complete;
  for (const auto& [id, parts] : aRecovery.mParts) {
    bool whole = std::ssize(parts) == parts.front().mParts;
    if (whole && parts.front().mOffset > aApplied) {
      complete.push_back(&parts);
    }
  }
  std::sort(complete.begin(), complete.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->front().mOffset > aRight->front().mOffset;
  });
  return complete;
}

Recovered
EndRecovery(Recovery& aRecovery, std::optional<FleetState> aState)
{
  Recovered recovered{ std::move(aState), std::move(aRecovery.mEntries) };
  aRecovery = Recovery();
  return recovered;
}

}

bool
NeedsRecovery(const FleetState& aFleet, const LogRead& aRead)
{
  bool gap = aRead.mFirst > aFleet.mApplied + 1;
  bool longWay = aFleet.mApplied == kNoOffset && aRead.mEnd - aRead.mFirst > kFirstWindow;
  return gap || longWay;
}

void
BeginRecovery(Recovery& aRecovery, const LogRead& aRead)
{
  aRecovery.mActive = true;
  aRecovery.mWindow = kFirstWindow;
  SetWindow(aRecovery, std::max(aRead.mFirst, aRead.mEnd - aRecovery.mWindow));
}

std::optional<Recovered>
CollectForRecovery(Recovery& aRecovery, Offset aApplied, const LogRead& aRead)
{
  if (aRead.mFirst > aRecovery.mNext) {
    // Retention was faster than the search.
    BeginRecovery(aRecovery, aRead);
  }
  Collect(aRecovery, aRead);
  if (aRecovery.mNext < aRead.mEnd) {
    return std::nullopt;
  }
  for (const auto* parts : CompleteCheckpoints(aRecovery, aApplied)) {
    auto follows = parts->front().mOffset + 1;
    if (follows < aRead.mFirst) {
      continue;
    }
    auto state = AssembleCheckpoint(*parts);
    if (!state.ok()) {
      continue;
    }
    if (follows < aRecovery.mWindowStart) {
      SetWindow(aRecovery, follows);
      return std::nullopt;
    }
    return EndRecovery(aRecovery, std::move(*state));
  }
  if (aRecovery.mWindowStart > aRead.mFirst) {
    aRecovery.mWindow *= kWindowGrowth;
    SetWindow(aRecovery, std::max(aRead.mFirst, aRead.mEnd - aRecovery.mWindow));
    return std::nullopt;
  }
  if (aRead.mFirst <= aApplied + 1) {
    return EndRecovery(aRecovery, std::nullopt);
  }
  // No state to start from yet: a member's checkpoint or a peer's state has to come.
  return std::nullopt;
}

void
Remember(RecentRecords& aRecent, const LogEntry& aEntry)
{
  aRecent.mEntries.push_back(aEntry);
  aRecent.mBytes += aEntry.mText.size();
  while (aRecent.mBytes > kRecentBytes) {
    aRecent.mBytes -= aRecent.mEntries.front().mText.size();
    aRecent.mEntries.pop_front();
  }
}

bool
Holds(const RecentRecords& aRecent, Offset aFrom)
{
  return !aRecent.mEntries.empty() && aRecent.mEntries.front().mOffset <= aFrom;
}

std::vector<LogEntry>
RecordsFrom(const RecentRecords& aRecent, Offset aFrom)
{
  auto first = aFrom - aRecent.mEntries.front().mOffset;
  return { aRecent.mEntries.begin() + first, aRecent.mEntries.end() };
}

void
NoteFolded(CheckpointSender& aSender, const FleetState& aFleet, const LogEntry& aEntry)
{
  aSender.mBytesSince += aEntry.mText.size();
  if (aFleet.mCheckpoints.mOffset > aSender.mLastOffset) {
    aSender.mLastOffset = aFleet.mCheckpoints.mOffset;
    aSender.mBytesSince = 0;
  }
}

bool
BeginCheckpointIfDue(CheckpointSender& aSender,
                     TimePoint aNow,
                     const FleetState& aFleet,
                     const std::string& aAuthor)
{
  if (!aSender.mParts.empty() || aNow < aSender.mNextAt) {
    return false;
  }
  auto distance = aFleet.mApplied - aFleet.mCheckpoints.mOffset;
  bool byRetention = aSender.mRetained > 0 && distance * kRetentionShare > aSender.mRetained;
  bool bySize = distance >= kCheckpointRecords || aSender.mBytesSince >= kCheckpointBytes;
  aSender.mLastAt = aSender.mLastAt == TimePoint() ? aNow : aSender.mLastAt;
  bool byAge = distance > 0 && aNow - aSender.mLastAt >= kCheckpointMaxAge;
  if (!bySize && !byRetention && !byAge) {
    return false;
  }
  aSender.mLastAt = aNow;
  aSender.mNextAt = aNow + kCheckpointInterval;
  auto id = aAuthor + "/checkpoint/" + std::to_string(aSender.mNextId++);
  auto parts = MakeCheckpoint(aFleet, id);
  aSender.mParts.assign(parts.begin(), parts.end());
  return true;
}

std::optional<CheckpointPart>
TakePart(CheckpointSender& aSender)
{
  if (aSender.mParts.empty()) {
    return std::nullopt;
  }
  auto part = std::move(aSender.mParts.front());
  aSender.mParts.pop_front();
  return part;
}

}
