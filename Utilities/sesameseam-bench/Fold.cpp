#include "Experiment.h"

#include "LibBase/Json.h"
#include "LibEntry/Control.h"
#include "LibFleet/Checkpoint.h"
#include "LibFleet/Fold.h"

#include <chrono>
#include <malloc.h>
#include <random>

// The cost of three weeks of changes at the size of two years on, and of a start from a
// checkpoint and its tail. The baseline folds the whole log.
namespace sesameseam {

namespace {

constexpr int kChanges = 315000;
constexpr int kHosts = 3300;
constexpr int kPools = 178;
constexpr int kTeams = 680;
constexpr int kMembers = 100;
// A checkpoint is at most this many records old when a host starts.
constexpr int kTail = 20000;
constexpr std::size_t kReadSize = 500;

double
SecondsSince(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - aStart).count();
}

// What the allocator has given out.
double
AllocatedMegabytes()
{
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

JsonValue
Number(double aNumber)
{
  JsonValue value;
  value.mType = JsonValue::Type::Number;
  value.mNumber = aNumber;
  return value;
}

struct LogMaker
{
  std::vector<LogEntry> mLog;
  std::mt19937_64 mRandom;
  TimePoint mNow{ std::chrono::hours(1) };

  int Any(int aCount) { return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom); }

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
PoolOf(int aNumber)
{
  return PoolName("pool-" + std::to_string(aNumber));
}

HostName
HostOf(int aNumber)
{
  return HostName("host-" + std::to_string(aNumber));
}

void
AddFleet(LogMaker& aMaker)
{
  for (int i = 0; i < kPools; ++i) {
    PoolDefined pool;
    pool.mPool = PoolOf(i);
    pool.mPresets = { { PresetName("ordinary"), 15, 2, 0.5 },
                      { PresetName("peak"), 18, 3, 0.3 },
                      { PresetName("maintenance"), 12, 1, 0.5 } };
    pool.mInForce = PresetName("ordinary");
    aMaker.Add(pool);
  }
  for (int i = 0; i < kHosts; ++i) {
    HostAdded host{
      HostOf(i),          PoolOf(i % kPools), RackName("rack-" + std::to_string(i / 4)),
      ZoneName("zone-1"), "10.1.2.3:8080",    8
    };
    aMaker.Add(host);
  }
  for (int i = 0; i < kTeams; ++i) {
    aMaker.Add(QuotaSet{ PoolOf(i % kPools), TeamName("team-" + std::to_string(i)), 1.0 });
  }
  for (int i = 0; i < kMembers; ++i) {
    MemberJoined member{
      MemberName("e" + std::to_string(i)), ZoneName("zone-1"), "10.0.0.1:7", "x"
    };
    aMaker.Add(member);
  }
}

// One host leaves, drains and joins another pool.
void
MoveHost(LogMaker& aMaker)
{
  auto host = HostOf(aMaker.Any(kHosts));
  auto pool = PoolOf(aMaker.Any(kPools));
  aMaker.Add(HostLeaving{ host, LeaveReason::Move, pool, false, {}, {} });
  aMaker.Add(HostDrained{ host });
  aMaker.Add(HostJoined{ host, pool });
}

void
AddChange(LogMaker& aMaker)
{
  switch (aMaker.Any(4)) {
    case 0:
      return MoveHost(aMaker);
    case 1:
      return aMaker.Add(PresetChosen{ PoolOf(aMaker.Any(kPools)),
                                      PresetName(aMaker.Any(2) ? "peak" : "ordinary") });
    case 2:
      return aMaker.Add(InForceReported{ std::ssize(aMaker.mLog), {} });
    default:
      return aMaker.Add(QuotaSet{ PoolOf(aMaker.Any(kPools)),
                                  TeamName("team-" + std::to_string(aMaker.Any(kTeams))),
                                  0.5 + aMaker.Any(10) });
  }
}

std::vector<LogEntry>
ThreeWeeks(std::uint64_t aSeed)
{
  LogMaker maker;
  maker.mRandom.seed(aSeed);
  AddFleet(maker);
  while (std::ssize(maker.mLog) < kChanges) {
    AddChange(maker);
  }
  return std::move(maker.mLog);
}

// The time from the first read to the end of the log, through the decisions of an entry host.
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
    for (auto i = from; i < read.mEnd && read.mEntries.size() < kReadSize; ++i) {
      read.mEntries.push_back(aLog[static_cast<std::size_t>(i)]);
    }
    Step(control, now, read);
  }
  return SecondsSince(start);
}

double
ParsingShare(const std::vector<LogEntry>& aLog, double aFoldSeconds)
{
  auto start = std::chrono::steady_clock::now();
  std::size_t read = 0;
  for (const auto& entry : aLog) {
    read += DecodeRecord(entry.mText).ok() ? 1 : 0;
  }
  return read == 0 ? 0 : SecondsSince(start) / aFoldSeconds;
}

// The log with a checkpoint in it, as old as a checkpoint may be, and the records behind it.
std::vector<LogEntry>
WithCheckpoint(const std::vector<LogEntry>& aLog, ExperimentFigures& aFigures)
{
  FleetState state;
  auto cut = aLog.size() - kTail;
  for (std::size_t i = 0; i < cut; ++i) {
    Apply(state, aLog[i]);
  }
  auto start = std::chrono::steady_clock::now();
  auto parts = MakeCheckpoint(state, "checkpoint");
  aFigures.mChosen.Add("checkpoint_encode_s") = Number(SecondsSince(start));
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
  aFigures.mChosen.Add("checkpoint_mb") = Number(static_cast<double>(bytes) / 1e6);
  return log;
}

ExperimentFigures
MeasureFold(std::uint64_t aSeed)
{
  ExperimentFigures figures;
  auto log = ThreeWeeks(aSeed);
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
  figures.mChosen.Add("ns_per_record") = Number(seconds * 1e9 / records);
  figures.mChosen.Add("state_mb") = Number(AllocatedMegabytes() - before);
  figures.mChosen.Add("decode_share") = Number(ParsingShare(log, seconds));
  state.reset();
  auto checkpointed = WithCheckpoint(log, figures);
  auto first = std::ssize(log) - 2 * kTail;
  figures.mChosen.Add("recovery_s") = Number(RecoverySeconds(checkpointed, first));
  figures.mBaseline.Add("records") = JsonInteger(std::ssize(log));
  // The baseline is the fold of the whole log, as long as it is all there.
  figures.mBaseline.Add("ns_per_record") = Number(seconds * 1e9 / records);
  figures.mBaseline.Add("recovery_s") = Number(seconds);
  return figures;
}

[[maybe_unused]] const bool kRegistered = RegisterExperiment("fold", MeasureFold);

}
}
