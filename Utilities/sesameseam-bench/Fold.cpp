#include "Experiment.h"

#include "LibBase/Json.h"
#include "LibEntry/Control.h"
#include "LibFleet/Checkpoint.h"
#include "LibFleet/Fold.h"

#include <chrono>
#include <malloc.h>
#include <random>

// Measures the cost of folding three weeks of changes to a fleet of the size expected in two years,
// and of a start from a checkpoint and the records after it. The baseline folds the whole log.
namespace sesameseam {

namespace {

constexpr int kLogRecords = 315000;
constexpr int kHosts = 3300;
constexpr int kPools = 178;
constexpr int kTeams = 680;
constexpr int kMembers = 100;
// The maximum age of a checkpoint, in records, when an entry host starts.
constexpr int kRecordsAfterCheckpoint = 20000;
constexpr std::size_t kEntriesPerRead = 500;

double
SecondsSince(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - aStart).count();
}

// Returns the memory in use according to the allocator.
double
AllocatedMegabytes()
{
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

JsonValue
ToJsonNumber(double aNumber)
{
  JsonValue value;
  value.mType = JsonValue::Type::Number;
  value.mNumber = aNumber;
  return value;
}

struct LogGenerator
{
  std::vector<LogEntry> mLog;
  std::mt19937_64 mRandom;
  TimePoint mNow{ std::chrono::hours(1) };

  int RandomBelow(int aCount) { return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom); }

  void Add(Change aChange)
  {
    Record record;
    record.mId = RecordId("e42#8a5fbb1c90d2/" + std::to_string(mLog.size()));
    record.mTime = mNow;
    record.mAuthor = "operator sari";
    record.mChange = std::move(aChange);
    mLog.push_back({ std::ssize(mLog), EncodeRecord(record) });
    mNow += 5760ms;
  }
};

PoolName
MakePoolName(int aNumber)
{
  return PoolName("pool-" + std::to_string(aNumber));
}

HostName
MakeHostName(int aNumber)
{
  return HostName("host-" + std::to_string(aNumber));
}

void
AddFleet(LogGenerator& aGenerator)
{
  for (int i = 0; i < kPools; ++i) {
    PoolDefined pool;
    pool.mPool = MakePoolName(i);
    pool.mPresets = { { PresetName("ordinary"), 15, 2, 0.5 },
                      { PresetName("peak"), 18, 3, 0.3 },
                      { PresetName("maintenance"), 12, 1, 0.5 } };
    pool.mInForce = PresetName("ordinary");
    aGenerator.Add(pool);
  }
  for (int i = 0; i < kHosts; ++i) {
    HostAdded host{
      MakeHostName(i),    MakePoolName(i % kPools), RackName("rack-" + std::to_string(i / 4)),
      ZoneName("zone-1"), "10.1.2.3:8080",          8
    };
    aGenerator.Add(host);
  }
  for (int i = 0; i < kTeams; ++i) {
    aGenerator.Add(
      QuotaSet{ MakePoolName(i % kPools), TeamName("team-" + std::to_string(i)), 1.0 });
  }
  for (int i = 0; i < kMembers; ++i) {
    MemberJoined member{
      MemberName("e" + std::to_string(i)), ZoneName("zone-1"), "10.0.0.1:7", "x"
    };
    aGenerator.Add(member);
  }
}

// Moves a random host to a random pool: it leaves, drains and joins.
void
MoveHost(LogGenerator& aGenerator)
{
  auto host = MakeHostName(aGenerator.RandomBelow(kHosts));
  auto pool = MakePoolName(aGenerator.RandomBelow(kPools));
  aGenerator.Add(HostLeaving{ host, LeaveReason::Move, pool, false, {}, {} });
  aGenerator.Add(HostDrained{ host });
  aGenerator.Add(HostJoined{ host, pool });
}

void
AddChange(LogGenerator& aGenerator)
{
  switch (aGenerator.RandomBelow(4)) {
    case 0:
      return MoveHost(aGenerator);
    case 1:
      return aGenerator.Add(
        PresetChosen{ MakePoolName(aGenerator.RandomBelow(kPools)),
                      PresetName(aGenerator.RandomBelow(2) ? "peak" : "ordinary") });
    case 2:
      return aGenerator.Add(InForceReported{ std::ssize(aGenerator.mLog), {} });
    default:
      return aGenerator.Add(
        QuotaSet{ MakePoolName(aGenerator.RandomBelow(kPools)),
                  TeamName("team-" + std::to_string(aGenerator.RandomBelow(kTeams))),
                  0.5 + aGenerator.RandomBelow(10) });
  }
}

std::vector<LogEntry>
GenerateLog(std::uint64_t aSeed)
{
  LogGenerator generator;
  generator.mRandom.seed(aSeed);
  AddFleet(generator);
  while (std::ssize(generator.mLog) < kLogRecords) {
    AddChange(generator);
  }
  return std::move(generator.mLog);
}

// Measures the time from the first read until the control logic of an entry host has caught up with
// the end of the log.
double
RecoverySeconds(const std::vector<LogEntry>& aLog, Offset aFirst)
{
  TimePoint now(std::chrono::hours(1));
  auto control = MakeControl(ControlSettings(), now);
  auto start = std::chrono::steady_clock::now();
  while (!control.mCaughtUp) {
    LogRead read;
    read.mSentAt = now;
    read.mFirst = aFirst;
    read.mEnd = std::ssize(aLog);
    auto from = std::max(NextReadOffset(control), aFirst);
    for (auto i = from; i < read.mEnd && read.mEntries.size() < kEntriesPerRead; ++i) {
      read.mEntries.push_back(aLog[static_cast<std::size_t>(i)]);
    }
    Step(control, now, read);
  }
  return SecondsSince(start);
}

double
DecodeShare(const std::vector<LogEntry>& aLog, double aFoldSeconds)
{
  auto start = std::chrono::steady_clock::now();
  std::size_t read = 0;
  for (const auto& entry : aLog) {
    read += DecodeRecord(entry.mText).ok() ? 1 : 0;
  }
  return read == 0 ? 0 : SecondsSince(start) / aFoldSeconds;
}

// Returns the log with a checkpoint inserted that has the maximum age, followed by the records
// after it. Adds the cost of the checkpoint to the figures.
std::vector<LogEntry>
InsertCheckpoint(const std::vector<LogEntry>& aLog, ExperimentResult& aFigures)
{
  FleetState state;
  auto cut = aLog.size() - kRecordsAfterCheckpoint;
  for (std::size_t i = 0; i < cut; ++i) {
    Apply(state, aLog[i]);
  }
  auto start = std::chrono::steady_clock::now();
  auto parts = MakeCheckpoint(state, "checkpoint");
  aFigures.mChosen.Add("checkpoint_encode_s") = ToJsonNumber(SecondsSince(start));
  std::vector<LogEntry> log(aLog.begin(), aLog.begin() + static_cast<std::ptrdiff_t>(cut));
  std::size_t bytes = 0;
  for (auto& part : parts) {
    Record record;
    record.mId = RecordId("part-" + std::to_string(part.mPart));
    record.mChange = std::move(part);
    log.push_back({ std::ssize(log), EncodeRecord(record) });
    bytes += log.back().mText.size();
  }
  for (std::size_t i = cut; i < aLog.size(); ++i) {
    log.push_back({ std::ssize(log), aLog[i].mText });
  }
  aFigures.mChosen.Add("checkpoint_parts") = JsonInteger(std::ssize(parts));
  aFigures.mChosen.Add("checkpoint_mb") = ToJsonNumber(static_cast<double>(bytes) / 1e6);
  return log;
}

ExperimentResult
MeasureFold(std::uint64_t aSeed)
{
  ExperimentResult figures;
  auto log = GenerateLog(aSeed);
  auto before = AllocatedMegabytes();
  auto state = std::make_unique<FleetState>();
  auto start = std::chrono::steady_clock::now();
  std::int64_t refused = 0;
  for (const auto& entry : log) {
    refused += Apply(*state, entry).mAccepted ? 0 : 1;
  }
  auto seconds = SecondsSince(start);
  auto records = static_cast<double>(log.size());
  figures.mChosen.Add("records") = JsonInteger(std::ssize(log));
  figures.mChosen.Add("refused") = JsonInteger(refused);
  figures.mChosen.Add("ns_per_record") = ToJsonNumber(seconds * 1e9 / records);
  figures.mChosen.Add("state_mb") = ToJsonNumber(AllocatedMegabytes() - before);
  figures.mChosen.Add("decode_share") = ToJsonNumber(DecodeShare(log, seconds));
  state.reset();
  auto checkpointed = InsertCheckpoint(log, figures);
  auto first = std::ssize(log) - 2 * kRecordsAfterCheckpoint;
  figures.mChosen.Add("recovery_s") = ToJsonNumber(RecoverySeconds(checkpointed, first));
  figures.mBaseline.Add("records") = JsonInteger(std::ssize(log));
  // The baseline folds the whole log, which requires that no record has been dropped from it.
  figures.mBaseline.Add("ns_per_record") = ToJsonNumber(seconds * 1e9 / records);
  figures.mBaseline.Add("recovery_s") = ToJsonNumber(seconds);
  return figures;
}

[[maybe_unused]] const bool kRegistered = RegisterExperiment("fold", MeasureFold);

}
}
