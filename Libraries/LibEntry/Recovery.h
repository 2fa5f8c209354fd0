#pragma once

#include "LibEntry/ControlEvents.h"
#include "LibFleet/Checkpoint.h"

#include <deque>
#include <map>

// Recovery of the state if the records cannot be folded from the first one on, and checkpoints,
// which are appended to the log before retention drops the records they cover.
namespace sesameseam {

// Searches for the newest checkpoint in windows that grow backwards from the end of the log.
struct Recovery
{
  bool mActive = false;
  Offset mWindowStart = 0;
  Offset mWindow = 0;
  Offset mNext = 0;
  std::vector<LogEntry> mEntries;
  std::map<std::string, std::vector<CheckpointPart>> mParts;
};

struct Recovered
{
  std::optional<FleetState> mState;
  // The records that follow the state.
  std::vector<LogEntry> mEntries;
};

// True if retention dropped records that were not folded, or if there are so many records that
// starting from a checkpoint is faster.
bool
NeedsRecovery(const FleetState& aFleet, const LogRead& aRead);

void
BeginRecovery(Recovery& aRecovery, const LogRead& aRead);

// Processes a read of the log. Returns a state above the applied offset once one is found, or only
// the records if none are missing. Corrupt and incomplete checkpoints are skipped.
std::optional<Recovered>
CollectForRecovery(Recovery& aRecovery, Offset aApplied, const LogRead& aRead);

// The most recently folded records, kept for peers that cannot reach the log.
struct RecentRecords
{
  std::deque<LogEntry> mEntries;
  std::size_t mBytes = 0;
};

void
AppendRecent(RecentRecords& aRecent, const LogEntry& aEntry);
bool
HasRecordsFrom(const RecentRecords& aRecent, Offset aFrom);
std::vector<LogEntry>
RecordsFrom(const RecentRecords& aRecent, Offset aFrom);

// The parts of a checkpoint that this entry host has not appended yet.
struct CheckpointSender
{
  std::deque<CheckpointPart> mParts;
  TimePoint mNextAt;
  // When this entry host last began a checkpoint, or first checked whether one is due.
  TimePoint mLastAt;
  // The size of the records since the newest checkpoint, in bytes.
  std::size_t mBytesSince = 0;
  Offset mLastOffset = kNoOffset;
  // The number of records that the log retains; 0 as long as it has dropped none.
  Offset mRetained = 0;
  std::int64_t mNextId = 1;
};

void
TrackFoldedRecord(CheckpointSender& aSender, const FleetState& aFleet, const LogEntry& aEntry);

// Prepares a checkpoint if the newest one is too old by records, bytes, retention or age.
bool
BeginCheckpointIfDue(CheckpointSender& aSender,
                     TimePoint aNow,
                     const FleetState& aFleet,
                     const std::string& aAuthor);

std::optional<CheckpointPart>
TakeCheckpointPart(CheckpointSender& aSender);

}
