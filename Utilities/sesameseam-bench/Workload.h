#pragma once

#include "LibServe/Request.h"

#include <cstdint>
#include <string>
#include <vector>

// Generates seeded arrivals and faults, so that all policies of an experiment run the same
// workload. Times are relative to the start of the trace.
namespace sesameseam {

struct Arrival
{
  Duration mAt = Duration::zero();
  PoolName mPool;
  RequestClass mClass = RequestClass::Urgent;
  Duration mRunTime = Duration::zero();
  Duration mDeclaredRunTime = Duration::zero();
  // Relative to the arrival.
  Duration mDeadline = Duration::zero();
  // The index of the entry host chosen by the load balancer.
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

// A time interval of one pool.
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
  // The intervals in which demand exceeds the capacity of the pool, without the time in which its
  // slots fill up.
  std::vector<PoolWindow> mBursts;
};

constexpr int kEntryHosts = 9;
constexpr int kTargetsPerPool = 10;
constexpr int kSlotsPerTarget = 8;
constexpr double kSlowdownFactor = 10.0;

HostName
MakeTargetName(const PoolName& aPool, int aNumber);

// Generates arrivals for five pools that burst in turn, with targets that die, fail all requests or
// slow down. The work that arrives during a burst is aBurstLoad times the capacity of the slots,
// and five times the mean.
Trace
MakeBurstTrace(std::uint64_t aSeed, double aBurstLoad);

}
