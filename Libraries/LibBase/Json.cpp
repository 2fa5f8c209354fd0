#include "LibBase/Json.h"

#include "LibBase/JsonText.h"

#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace sesameseam {

namespace {

struct DurationUnit
{
  std::string_view mName;
  Duration mLength;
};

// Longest unit first, so that formatting finds the shortest text.
constexpr std::array kDurationUnits = {
  DurationUnit{ "h", std::chrono::hours(1) },
  DurationUnit{ "min", std::chrono::minutes(1) },
  DurationUnit{ "s", std::chrono::seconds(1) },
  DurationUnit{ "ms", std::chrono::milliseconds(1) },
  DurationUnit{ "us", std::chrono::microseconds(1) },
};

// The parser of the library recurses, so that depth has to be bounded before it runs.
bool
IsTooDeep(const std::string& aText)
{
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    char c = aText[i];
    if (inString) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        inString = false;
      }
      continue;
    }
    if (c == '"') {
      inString = true;
    } else if (c == '{' || c == '[') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if ((c == '}' || c == ']') && depth > 0) {
      --depth;
    }
  }
  return false;
}

void
NoteType(const std::string& aPath, const char* aExpected, detail::Problems& aProblems)
{
  aProblems.push_back({ aPath, std::string("must be ") + aExpected });
}

}

namespace {

struct ParsedCount
{
  double mCount = 0;
  bool mIsWhole = true;
  const char* mRest = nullptr;
};

// A number that may have a fraction: "3" or "1.5".
std::optional<ParsedCount>
ParseCount(std::string_view aText)
{
  const auto* end = aText.data() + aText.size();
  std::int64_t whole = 0;
  auto parsed = std::from_chars(aText.data(), end, whole);
  if (parsed.ec != std::errc() || whole < 0) {
    return std::nullopt;
  }
  ParsedCount count{ static_cast<double>(whole), true, parsed.ptr };
  if (parsed.ptr == end || *parsed.ptr != '.') {
    return count;
  }
  double fraction = 0;
  parsed = std::from_chars(aText.data(), end, fraction, std::chars_format::fixed);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return ParsedCount{ fraction, false, parsed.ptr };
}

}

std::optional<Duration>
ParseDuration(std::string_view aText)
{
  const auto* end = aText.data() + aText.size();
  auto parsed = ParseCount(aText);
  if (!parsed) {
    return std::nullopt;
  }
  std::string_view unit(parsed->mRest, static_cast<std::size_t>(end - parsed->mRest));
  for (const auto& known : kDurationUnits) {
    if (known.mName != unit) {
      continue;
    }
    auto length = parsed->mCount * static_cast<double>(known.mLength.count());
    if (length >= static_cast<double>(Duration::max().count())) {
      return std::nullopt;
    }
    return parsed->mIsWhole ? known.mLength * static_cast<std::int64_t>(parsed->mCount)
                            : Duration(std::llround(length));
  }
  return std::nullopt;
}

std::string
FormatDuration(Duration aDuration)
{
  if (aDuration == Duration::zero()) {
    return "0s";
  }
  for (const auto& unit : kDurationUnits) {
    if (aDuration % unit.mLength == Duration::zero()) {
      return std::to_string(aDuration / unit.mLength) + std::string(unit.mName);
    }
  }
  return std::to_string(aDuration.count()) + "us";
}

absl::StatusOr<JsonValue>
ParseJson(const std::string& aText)
{
  if (IsTooDeep(aText)) {
    return MakeError(ErrorKind::BadJson, "nested too deeply");
  }
  JsonValue value;
  std::string reason;
  if (!detail::ParseJsonText(aText, value, reason)) {
    return MakeError(ErrorKind::BadJson, reason);
  }
  return value;
}

std::string
PrintJson(const JsonValue& aJson, bool aBeautify)
{
  return detail::PrintJsonText(aJson, aBeautify);
}

std::string
DescribeProblems(const std::vector<JsonProblem>& aProblems)
{
  std::string text;
  for (const auto& problem : aProblems) {
    text += text.empty() ? "" : "; ";
    text += problem.mPath.empty() ? "document" : problem.mPath;
    text += ": " + problem.mReason;
  }
  return text;
}

JsonReader::JsonReader(const JsonValue& aJson,
                       std::string aPath,
                       std::vector<JsonProblem>& aProblems)
  : mJson(aJson)
  , mPath(std::move(aPath))
  , mProblems(aProblems)
{
}

void
JsonReader::NoteUnknownMembers()
{
  std::set<std::string> seen;
  for (const auto& member : mJson.mMembers) {
    if (!mAsked.contains(member.mName)) {
      Note(member.mName, "is not a known key");
    }
    if (!seen.insert(member.mName).second) {
      Note(member.mName, "stands twice");
    }
  }
}

void
JsonReader::Note(const std::string& aName, std::string aReason)
{
  mProblems.push_back({ detail::MemberPath(mPath, aName), std::move(aReason) });
}

namespace detail {

void
ReadScalar(const JsonValue& aJson,
           const std::string& aPath,
           std::string& aValue,
           Problems& aProblems)
{
  if (aJson.mType != JsonValue::Type::String) {
    return NoteType(aPath, "a string", aProblems);
  }
  aValue = aJson.mString;
}

void
ReadScalar(const JsonValue& aJson, const std::string& aPath, bool& aValue, Problems& aProblems)
{
  if (aJson.mType != JsonValue::Type::Bool) {
    return NoteType(aPath, "true or false", aProblems);
  }
  aValue = aJson.mBool;
}

void
ReadScalar(const JsonValue& aJson, const std::string& aPath, double& aValue, Problems& aProblems)
{
  if (aJson.mType == JsonValue::Type::Integer) {
    aValue = static_cast<double>(aJson.mInteger);
    return;
  }
  if (aJson.mType != JsonValue::Type::Number) {
    return NoteType(aPath, "a number", aProblems);
  }
  aValue = aJson.mNumber;
}

void
ReadScalar(const JsonValue& aJson,
           const std::string& aPath,
           std::int64_t& aValue,
           Problems& aProblems)
{
  if (aJson.mType != JsonValue::Type::Integer) {
    return NoteType(aPath, "a whole number of 64 bits", aProblems);
  }
  aValue = aJson.mInteger;
}

void
ReadScalar(const JsonValue& aJson, const std::string& aPath, Duration& aValue, Problems& aProblems)
{
  std::optional<Duration> duration;
  if (aJson.mType == JsonValue::Type::String) {
    duration = ParseDuration(aJson.mString);
  }
  if (!duration) {
    return NoteType(aPath, "a duration with its unit, such as \"250ms\" or \"3s\"", aProblems);
  }
  aValue = *duration;
}

void
ReadScalar(const JsonValue& aJson, const std::string& aPath, TimePoint& aValue, Problems& aProblems)
{
  std::int64_t count = 0;
  ReadScalar(aJson, aPath, count, aProblems);
  aValue = TimePoint(Duration(count));
}

bool
CheckObject(const JsonValue& aJson, const std::string& aPath, Problems& aProblems)
{
  if (aJson.mType == JsonValue::Type::Object) {
    return true;
  }
  NoteType(aPath, "an object", aProblems);
  return false;
}

bool
CheckArray(const JsonValue& aJson, const std::string& aPath, Problems& aProblems)
{
  if (aJson.mType == JsonValue::Type::Array) {
    return true;
  }
  NoteType(aPath, "an array", aProblems);
  return false;
}

bool
CheckRange(bool aInRange, const std::string& aPath, Problems& aProblems)
{
  if (!aInRange) {
    NoteType(aPath, "within the range of its type", aProblems);
  }
  return aInRange;
}

std::string
ItemPath(const std::string& aPath, std::size_t aIndex)
{
  return aPath + "[" + std::to_string(aIndex) + "]";
}

std::string
MemberPath(const std::string& aPath, const std::string& aName)
{
  return aPath.empty() ? aName : aPath + "." + aName;
}

}
}
