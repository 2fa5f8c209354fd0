#pragma once

#include "LibEntry/ControlEvents.h"
#include "LibFleet/Checkpoint.h"

#include <deque>
#include <map>

// How an entry host comes to a state that it cannot fold from the first record on, and how
// states get into the log before retention takes the records that made them.
namespace sesameseam {

// The search for the newest checkpoint, in windows that grow back from the end of the log.
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

// True if retention dropped records that were not folded, or if so many are there that a
// checkpoint is the shorter way.
bool
NeedsRecovery(const FleetState& aFleet, const LogRead& aRead);

void
BeginRecovery(Recovery& aRecovery, const LogRead& aRead);

// Takes in a read. Gives a state above the applied offset once one is found, or the records
// alone where none is missing. A checkpoint that is corrupt or incomplete is passed over.
std::optional<Recovered>
CollectForRecovery(Recovery& aRecovery, Offset aApplied, const LogRead& aRead);

// The last records that were folded, kept for peers that cannot reach the log.
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

// The parts of a checkpoint that this entry host has yet to append.
struct CheckpointSender
{
  std::deque<CheckpointPart> mParts;
  TimePoint mNextAt;
  // When a checkpoint was last begun here, or else when one was first thought of.
  TimePoint mLastAt;
  // Bytes of the records that follow the newest checkpoint.
  std::size_t mBytesSince = 0;
  Offset mLastOffset = kNoOffset;
  // The records that the log keeps; 0 while it has dropped none.
  Offset mRetained = 0;
  std::int64_t mNextId = 1;
};

void
TrackFoldedRecord(CheckpointSender& aSender, const FleetState& aFleet, const LogEntry& aEntry);

// Prepares the parts where the newest checkpoint is too old by records, bytes or retention.
bool
BeginCheckpointIfDue(CheckpointSender& aSender,
                     TimePoint aNow,
                     const FleetState& aFleet,
                     const std::string& aAuthor);

std::optional<CheckpointPart>
TakeCheckpointPart(CheckpointSender& aSender);

}
