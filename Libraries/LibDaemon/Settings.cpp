#include "LibDaemon/Settings.h"

#include "LibHttp/Address.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <concepts>
#include <fstream>
#include <limits>
#include <sstream>

namespace sesameseam {

namespace {

using Problems = std::vector<JsonProblem>;
using Limits = std::vector<SettingLimits>;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::string_view kWildcardAddress = "0.0.0.0";

const Limits&
AllLimits()
{
  static const Limits kLimits = {
    { "max_requests", 1, 4096, false },
    { "max_queued", 1, 100000, false },
    { "max_body_bytes", 1, 64 * 1024 * 1024, false },
    { "view_stale_after", Duration(500ms).count(), Duration(30s).count(), true },
    { "member_timeout", Duration(1s).count(), Duration(std::chrono::minutes(5)).count(), true },
    { "report_interval", Duration(20ms).count(), Duration(10s).count(), true },
    { "tick_interval", Duration(5ms).count(), Duration(1s).count(), true },
    { "host_list_interval", Duration(100ms).count(), Duration(60s).count(), true },
    { "seed", 0, std::numeric_limits<std::int64_t>::max(), false },
  };
  return kLimits;
}

const SettingLimits*
FindLimits(const std::string& aKey)
{
  const auto& limits = AllLimits();
  auto found = std::find_if(limits.begin(), limits.end(), [&](const SettingLimits& aLimits) {
    return aLimits.mKey == aKey;
  });
  return found == limits.end() ? nullptr : &*found;
}

std::string
FormatRange(const SettingLimits& aLimits)
{
  if (aLimits.mIsDuration) {
    return FormatDuration(Duration(aLimits.mMin)) + " to " + FormatDuration(Duration(aLimits.mMax));
  }
  return std::to_string(aLimits.mMin) + " to " + std::to_string(aLimits.mMax);
}

// Field visitor that reports each number or duration that is out of range.
class RangeChecker
{
public:
  explicit RangeChecker(Problems& aProblems)
    : mProblems(aProblems)
  {
  }

  template<typename T>
  void operator()(const char* aKey, const T& aValue, Presence = Presence::Optional)
  {
    if constexpr (std::same_as<T, Duration>) {
      Check(aKey, aValue.count());
    } else if constexpr (std::integral<T> && !std::same_as<T, bool>) {
      Check(aKey, static_cast<std::int64_t>(aValue));
    }
  }

private:
  void Check(const std::string& aKey, std::int64_t aValue)
  {
    const auto* limits = FindLimits(aKey);
    if (limits != nullptr && (aValue < limits->mMin || aValue > limits->mMax)) {
      mProblems.push_back({ aKey, "must be from " + FormatRange(*limits) });
    }
  }

  Problems& mProblems;
};

// Field visitor that collects a description of each setting.
class SettingsDescriber
{
public:
  template<typename T>
  void operator()(const char* aKey, const T& aValue, Presence aPresence = Presence::Optional)
  {
    SettingDescription description;
    description.mKey = aKey;
    description.mType = TypeOf<T>();
    description.mRequired = aPresence == Presence::Required;
    description.mDefault = description.mRequired ? "required" : PrintJson(ToJsonValue(aValue));
    const auto* limits = FindLimits(aKey);
    description.mRange = limits == nullptr ? "" : FormatRange(*limits);
    mDescriptions.push_back(std::move(description));
  }

  std::vector<SettingDescription> mDescriptions;

private:
  template<typename T>
  static std::string TypeOf()
  {
    if constexpr (std::same_as<T, Duration>) {
      return "duration";
    } else if constexpr (std::same_as<T, bool>) {
      return "true or false";
    } else if constexpr (std::integral<T>) {
      return "number";
    } else if constexpr (std::same_as<T, std::string>) {
      return "text";
    } else {
      return "list";
    }
  }
};

// A key that is missing or has the wrong type has been reported by the parser and holds its default
// value, which must not be reported a second time.
bool
IsReported(const std::string& aKey, const Problems& aProblems)
{
  return std::any_of(aProblems.begin(), aProblems.end(), [&](const JsonProblem& aProblem) {
    return aProblem.mPath == aKey;
  });
}

void
CheckName(const std::string& aKey, const std::string& aName, Problems& aProblems)
{
  bool plain = std::all_of(aName.begin(), aName.end(), [](char aByte) {
    return aByte > ' ' && aByte < '\x7f' && aByte != '"' && aByte != '\\';
  });
  if (!IsReported(aKey, aProblems) && (aName.empty() || aName.size() > kMaxNameBytes || !plain)) {
    aProblems.push_back(
      { aKey, "must be a name of 1 to 128 printable characters without spaces or quotes" });
  }
}

void
CheckAddress(const std::string& aKey, const std::string& aValue, Problems& aProblems)
{
  auto address = ParseAddress(aValue);
  if (!IsReported(aKey, aProblems) && !address.ok()) {
    aProblems.push_back({ aKey, std::string(address.status().message()) });
  }
}

// Callers can reach all addresses of the host, so the operator and peer servers must not listen on
// the wildcard address.
void
CheckNotWildcardAddress(const std::string& aKey, const std::string& aValue, Problems& aProblems)
{
  if (aValue.substr(0, aValue.rfind(':')) == kWildcardAddress) {
    aProblems.push_back({ aKey, "must name one address of the host, not 0.0.0.0" });
  }
}

void
CheckDistinct(const std::vector<std::pair<std::string, std::string>>& aAddresses,
              Problems& aProblems)
{
  for (std::size_t i = 1; i < aAddresses.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (!aAddresses[i].second.empty() && aAddresses[i].second == aAddresses[j].second) {
        aProblems.push_back({ aAddresses[i].first, "must differ from " + aAddresses[j].first });
      }
    }
  }
}

void
CheckAddresses(const Settings& aSettings, Problems& aProblems)
{
  const std::vector<std::pair<std::string, std::string>> addresses = {
    { "caller_address", aSettings.mCallerAddress },
    { "operator_address", aSettings.mOperatorAddress },
    { "peer_address", aSettings.mPeerAddress },
    { "platform_address", aSettings.mPlatformAddress },
  };
  for (const auto& [key, value] : addresses) {
    CheckAddress(key, value, aProblems);
  }
  for (std::size_t i = 0; i < aSettings.mPeers.size(); ++i) {
    CheckAddress(detail::ItemPath("peers", i), aSettings.mPeers[i], aProblems);
  }
  CheckNotWildcardAddress("operator_address", aSettings.mOperatorAddress, aProblems);
  CheckNotWildcardAddress("peer_address", aSettings.mPeerAddress, aProblems);
  CheckDistinct(addresses, aProblems);
}

void
CheckNames(const Settings& aSettings, Problems& aProblems)
{
  CheckName("deployment", aSettings.mDeployment, aProblems);
  CheckName("name", aSettings.mName, aProblems);
  CheckName("zone", aSettings.mZone, aProblems);
  CheckName("platform", aSettings.mPlatform, aProblems);
  CheckName("target_client", aSettings.mTargetClient, aProblems);
  if (!IsReported("operator_token_file", aProblems) && aSettings.mOperatorTokenFile.empty()) {
    aProblems.push_back({ "operator_token_file", "must name a file" });
  }
}

// Checks constraints between settings that are each within their own range.
void
CheckConsistency(const Settings& aSettings, Problems& aProblems)
{
  if (aSettings.mReportInterval * 2 > aSettings.mViewStaleAfter) {
    aProblems.push_back({ "report_interval", "must be at most half of view_stale_after" });
  }
  if (aSettings.mTickInterval * 2 > aSettings.mViewStaleAfter) {
    aProblems.push_back({ "tick_interval", "must be at most half of view_stale_after" });
  }
  if (aSettings.mMemberTimeout < aSettings.mViewStaleAfter) {
    aProblems.push_back({ "member_timeout", "must be at least view_stale_after" });
  }
}

}

std::vector<SettingDescription>
DescribeSettings()
{
  Settings settings;
  SettingsDescriber describer;
  VisitFields(describer, settings);
  return describer.mDescriptions;
}

absl::StatusOr<Settings>
ParseSettings(const std::string& aText)
{
  auto json = TRY(ParseJson(aText));
  Settings settings;
  Problems problems;
  detail::ReadValue(json, "", settings, problems);
  CheckNames(settings, problems);
  CheckAddresses(settings, problems);
  RangeChecker checker(problems);
  VisitFields(checker, settings);
  CheckConsistency(settings, problems);
  if (!problems.empty()) {
    return MakeError(ErrorKind::BadSettings, DescribeProblems(problems));
  }
  return settings;
}

absl::StatusOr<std::string>
ReadFile(const std::string& aFile)
{
  std::ifstream in(aFile);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    return MakeError(ErrorKind::BadSettings, "cannot read the file '" + aFile + "'");
  }
  return text.str();
}

absl::StatusOr<Settings>
LoadSettings(const std::string& aFile)
{
  auto settings = ParseSettings(TRY(ReadFile(aFile)));
  if (!settings.ok()) {
    return MakeError(KindOf(settings.status()),
                     aFile + ": " + std::string(settings.status().message()));
  }
  return settings;
}

absl::StatusOr<std::string>
ReadToken(const std::string& aFile)
{
  auto token = std::string(absl::StripAsciiWhitespace(TRY(ReadFile(aFile))));
  bool printable = std::all_of(
    token.begin(), token.end(), [](char aByte) { return aByte > ' ' && aByte < '\x7f'; });
  if (token.size() < kMinTokenBytes || token.size() > kMaxTokenBytes || !printable) {
    return MakeError(ErrorKind::BadSettings,
                     "the credential in '" + aFile +
                       "' must be one word of 12 to 512 printable characters");
  }
  return token;
}

}
