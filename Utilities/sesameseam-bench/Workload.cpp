#include "Workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace sesameseam {

namespace {

constexpr int kPools = 5;
constexpr int kCycles = 3;
constexpr Duration kBurstDuration = 4s;
// The time that the first requests of a burst take to fill the slots of the pool.
constexpr Duration kFillTime = 500ms;
// The load between bursts, relative to the load in a burst: a twentieth of the mean load, which is
// a fifth of the burst load.
constexpr double kIdleLoadFactor = 1.0 / 5 / 20;
constexpr double kMaxRunTimeErrorFactor = 10.0;
constexpr double kRunTimeSigma = 0.5;

struct ClassProfile
{
  RequestClass mClass;
  double mWorkShare;
  double mMeanSeconds;
  Duration mDeadline;
};

constexpr std::array kClassProfiles = {
  ClassProfile{ RequestClass::Urgent, 0.5, 0.08, 2s },
  ClassProfile{ RequestClass::Ordinary, 0.3, 0.25, 10s },
  ClassProfile{ RequestClass::Long, 0.2, 2.0, 60s },
};

Duration
FromSeconds(double aSeconds)
{
  return Duration(static_cast<std::int64_t>(aSeconds * 1e6));
}

void
AddArrivals(Trace& aTrace,
            std::mt19937_64& aRandom,
            const PoolWindow& aWindow,
            const ClassProfile& aShape,
            double aLoad)
{
  auto slots = static_cast<double>(kTargetsPerPool * kSlotsPerTarget);
  std::exponential_distribution<double> gap(aLoad * slots * aShape.mWorkShare /
                                            aShape.mMeanSeconds);
  auto mu = std::log(aShape.mMeanSeconds) - kRunTimeSigma * kRunTimeSigma / 2;
  std::lognormal_distribution<double> runTime(mu, kRunTimeSigma);
  std::uniform_real_distribution<double> error(-1.0, 1.0);
  std::uniform_int_distribution<std::size_t> entry(0, kEntryHosts - 1);
  for (auto at = aWindow.mFrom + FromSeconds(gap(aRandom)); at < aWindow.mTo;
       at += FromSeconds(gap(aRandom))) {
    Arrival arrival;
    arrival.mAt = at;
    arrival.mPool = aWindow.mPool;
    arrival.mClass = aShape.mClass;
    auto seconds = runTime(aRandom);
    arrival.mRunTime = FromSeconds(seconds);
    arrival.mDeclaredRunTime =
      FromSeconds(seconds * std::pow(kMaxRunTimeErrorFactor, error(aRandom)));
    arrival.mDeadline = aShape.mDeadline;
    arrival.mEntryHost = entry(aRandom);
    aTrace.mArrivals.push_back(arrival);
  }
}

void
AddFault(Trace& aTrace, std::mt19937_64& aRandom, const PoolWindow& aBurst, FaultKind aKind)
{
  std::uniform_int_distribution<int> target(0, kTargetsPerPool - 1);
  auto from = aBurst.mFrom + 1s;
  aTrace.mFaults.push_back(
    { from, from + 6s, MakeTargetName(aBurst.mPool, target(aRandom)), aKind });
}

}

HostName
MakeTargetName(const PoolName& aPool, int aNumber)
{
  return HostName(aPool.mValue + "-h" + std::to_string(aNumber + 1));
}

Trace
MakeBurstTrace(std::uint64_t aSeed, double aBurstLoad)
{
  std::mt19937_64 random(aSeed);
  Trace trace;
  for (int turn = 0; turn < kPools * kCycles; ++turn) {
    for (int pool = 0; pool < kPools; ++pool) {
      PoolWindow window{ PoolName("pool" + std::to_string(pool)),
                         turn * kBurstDuration,
                         (turn + 1) * kBurstDuration };
      bool bursts = turn % kPools == pool;
      for (const auto& shape : kClassProfiles) {
        AddArrivals(
          trace, random, window, shape, bursts ? aBurstLoad : aBurstLoad * kIdleLoadFactor);
      }
      if (!bursts) {
        continue;
      }
      if (turn % 4 != 0) {
        AddFault(trace, random, window, static_cast<FaultKind>(turn % 4 - 1));
      }
      window.mFrom += kFillTime;
      trace.mBursts.push_back(window);
    }
  }
  std::sort(trace.mArrivals.begin(), trace.mArrivals.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.mAt < aRight.mAt;
  });
  return trace;
}

}
