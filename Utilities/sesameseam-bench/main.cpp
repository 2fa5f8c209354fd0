#include "Experiment.h"

#include "LibBase/Json.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <map>

namespace sesameseam {

namespace {

std::map<std::string, Experiment>&
Experiments()
{
  static std::map<std::string, Experiment> experiments;
  return experiments;
}

}

bool
RegisterExperiment(const std::string& aName, Experiment aExperiment)
{
  return Experiments().emplace(aName, std::move(aExperiment)).second;
}

}

int
main(int aCount, char** aArguments)
{
  using namespace sesameseam;
  CLI::App app("Runs an experiment over the decision code and prints its figures as JSON");
  std::string name;
  std::uint64_t seed = 1;
  std::vector<std::string> names;
  for (const auto& [known, experiment] : Experiments()) {
    names.push_back(known);
  }
  app.add_option("name", name, "The experiment")->required()->check(CLI::IsMember(names));
  app.add_option("--seed", seed, "Seed of everything that is random");
  app.set_version_flag("--version", "sesameseam-bench " SESAMESEAM_VERSION);
  CLI11_PARSE(app, aCount, aArguments);

  auto figures = Experiments().at(name)(seed);
  JsonValue line;
  line.Add("name") = JsonString(name);
  line.Add("seed") = JsonInteger(static_cast<std::int64_t>(seed));
  line.Add("baseline") = figures.mBaseline;
  line.Add("chosen") = figures.mChosen;
  std::cout << PrintJson(line) << "\n";
  return 0;
}
