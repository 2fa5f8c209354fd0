#pragma once

#include "LibBase/JsonValue.h"

#include <cstdint>
#include <functional>
#include <string>

namespace sesameseam {

// The figures of one run: of the baseline to compare with, and of the design that this project
// implements.
struct ExperimentResult
{
  JsonValue mBaseline;
  JsonValue mChosen;
};

// Runs an experiment. The same seed gives the same figures, except for those that measure the
// time or memory used on the local machine.
using Experiment = std::function<ExperimentResult(std::uint64_t aSeed)>;

// Registers an experiment under its name. Meant for static initializers; returns true, or false if
// the name is already registered.
bool
RegisterExperiment(const std::string& aName, Experiment aExperiment);

}
