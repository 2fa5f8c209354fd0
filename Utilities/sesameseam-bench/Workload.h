#pragma once

#include "LibServe/Request.h"

#include <cstdint>
#include <string>
#include <vector>

// Seeded arrivals and faults that every policy of an experiment is given alike. Times count
// from the start of the trace.
namespace sesameseam {

struct Arrival
{
  Duration mAt = Duration::zero();
  PoolName mPool;
  RequestClass mClass = RequestClass::Urgent;
  Duration mRunTime = Duration::zero();
  Duration mDeclaredRunTime = Duration::zero();
  // From the arrival on.
  Duration mDeadline = Duration::zero();
  // The entry host that the balancer chose.
  std::size_t mEntryHost = 0;
};

enum class FaultKind
{
  Dead,
  FailsAll,
  Slow,
};

struct Fault
{
  Duration mFrom = Duration::zero();
  Duration mTo = Duration::zero();
  HostName mHost;
  FaultKind mKind = FaultKind::Dead;
};

struct PoolWindow
{
  PoolName mPool;
  Duration mFrom = Duration::zero();
  Duration mTo = Duration::zero();
};

struct Trace
{
  std::vector<Arrival> mArrivals;
  std::vector<Fault> mFaults;
  // When demand is above what the pool holds, without the time in which its slots fill up.
  std::vector<PoolWindow> mBursts;
};

constexpr int kEntryHosts = 9;
constexpr int kTargetsPerPool = 10;
constexpr int kSlotsPerTarget = 8;
constexpr double kSlowdownFactor = 10.0;

HostName
MakeTargetName(const PoolName& aPool, int aNumber);

// Five pools that burst by turns, with targets that die, fail everything or slow down. The work
// that arrives in a burst is a multiple of the slots, and five times the mean.
Trace
MakeBurstTrace(std::uint64_t aSeed, double aBurstLoad);

}
