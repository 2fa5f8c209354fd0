#include "Experiment.h"
#include "TraceRun.h"

// Compares how entry hosts share the slots of targets: with a home entry host for each target and
// forwarding between entry hosts, against a random choice of target (the baseline) and the better
// of two random choices by reported load.
namespace sesameseam {

namespace {

// At this load the urgent requests of a burst nearly fill the slots.
constexpr double kBurstLoad = 1.8;
// At this load the urgent requests alone exceed the slots.
constexpr double kOverload = 2.4;

ExperimentResult
MeasureAt(double aBurstLoad, std::uint64_t aSeed)
{
  auto trace = MakeBurstTrace(aSeed, aBurstLoad);
  auto fits = CountFeasibleUrgent(trace);
  PolicySettings random;
  PolicySettings twoChoices;
  twoChoices.mTwoChoices = true;
  twoChoices.mQueueByClass = true;
  ExperimentResult figures;
  figures.mBaseline = SummarizeSlotSharing(trace, RunOnPolicy(trace, random, aSeed), fits);
  figures.mBaseline.Add("two_choices") =
    SummarizeSlotSharing(trace, RunOnPolicy(trace, twoChoices, aSeed), fits);
  figures.mChosen = SummarizeSlotSharing(trace, RunOnDeployment(trace, aSeed), fits);
  return figures;
}

ExperimentResult
MeasureSlots(std::uint64_t aSeed)
{
  auto figures = MeasureAt(kBurstLoad, aSeed);
  auto overload = MeasureAt(kOverload, aSeed);
  figures.mBaseline.Add("overload") = overload.mBaseline;
  figures.mChosen.Add("overload") = overload.mChosen;
  return figures;
}

const bool kRegistered = RegisterExperiment("slots", MeasureSlots);

}

}
