#include "LibSchedule/Dependency.h"

namespace sesameseam::schedule {

namespace {

// One call that fails is repeated, and no loss.
constexpr Duration kLostAfter = 500ms;

void
LogStateChange(std::string_view aEvent,
               std::string aName,
               CallResult aResult,
               Duration aAge,
               Actions& aActions)
{
  LogEntry entry{ LogLevel::Warning, aEvent, {}, std::move(aName) };
  entry.mOutcome = NameOf(aResult);
  entry.mAge = ToMilliseconds(aAge);
  aActions.emplace_back(std::move(entry));
}

}

void
UpdateDependency(Dependency& aDependency,
                 std::string aName,
                 CallResult aResult,
                 Instant aNow,
                 Actions& aActions)
{
  if (aResult == CallResult::Done) {
    if (aDependency.mIsLost) {
      LogStateChange("dependency-regained",
                     std::move(aName),
                     aResult,
                     aNow - *aDependency.mFailingSince,
                     aActions);
    }
    aDependency = {};
    return;
  }
  if (!aDependency.mFailingSince) {
    aDependency.mFailingSince = aNow;
  }
  auto failing = aNow - *aDependency.mFailingSince;
  if (!aDependency.mIsLost && failing >= kLostAfter) {
    aDependency.mIsLost = true;
    LogStateChange("dependency-lost", std::move(aName), aResult, failing, aActions);
  }
}

}
