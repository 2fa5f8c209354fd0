#pragma once

#include "LibBase/JsonValue.h"

#include <cstdint>
#include <functional>
#include <string>

namespace sesameseam {

// The figures of one run, for the baseline and for what the project does.
struct ExperimentResult
{
  JsonValue mBaseline;
  JsonValue mChosen;
};

// The same seed gives the same figures, but for those that measure this machine.
using Experiment = std::function<ExperimentResult(std::uint64_t aSeed)>;

// Makes an experiment known by its name. Gives true, for use by a static initializer.
bool
RegisterExperiment(const std::string& aName, Experiment aExperiment);

}
