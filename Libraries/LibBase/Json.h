#pragma once

#include "LibBase/Error.h"
#include "LibBase/Id.h"
#include "LibBase/JsonValue.h"
#include "LibBase/Time.h"

#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace sesameseam {

// How deeply the arrays and objects of a document may be nested. The parsers recurse, so that one
// that is nested without end would overflow the stack.
inline constexpr std::size_t kMaxJsonDepth = 64;

// One mistake in a JSON document: where it is, what is wrong and what would be right.
struct JsonProblem
{
  std::string mPath;
  std::string mReason;
};

enum class Presence
{
  Optional,
  Required,
};

// "250ms", "3s", "2h": a number with its unit. Empty if the text is no duration.
std::optional<Duration>
ParseDuration(std::string_view aText);
std::string
FormatDuration(Duration aDuration);

absl::StatusOr<JsonValue>
ParseJson(const std::string& aText);
std::string
PrintJson(const JsonValue& aJson, bool aBeautify = false);

std::string
DescribeProblems(const std::vector<JsonProblem>& aProblems);

// An enum that travels by name specializes this with a static `std::array` of
// name and value, called kNames.
template<typename Enum>
struct EnumNames;

template<typename Enum>
std::string_view
EnumName(Enum aValue)
{
  for (const auto& [name, value] : EnumNames<Enum>::kNames) {
    if (value == aValue) {
      return name;
    }
  }
  return "unknown";
}

template<typename Enum>
std::optional<Enum>
EnumValue(std::string_view aName)
{
  for (const auto& [name, value] : EnumNames<Enum>::kNames) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

class JsonReader;
class JsonWriter;

// A struct travels as a JSON object if `VisitFields(visitor, object)` is found for it.
template<typename T>
concept HasFields = requires(JsonReader& aReader, T& aObject)
{
  VisitFields(aReader, aObject);
};

// Reads the members of one JSON object, and notes every mistake instead of the first.
class JsonReader
{
public:
  JsonReader(const JsonValue& aJson, std::string aPath, std::vector<JsonProblem>& aProblems);

  template<typename T>
  void operator()(const char* aName, T& aValue, Presence aPresence = Presence::Optional);

  // Notes every member that no call has asked for, and every one that stands twice.
  void NoteUnknownMembers();
  void Note(const std::string& aName, std::string aReason);

private:
  const JsonValue& mJson;
  std::string mPath;
  std::vector<JsonProblem>& mProblems;
  std::set<std::string> mAsked;
};

class JsonWriter
{
public:
  explicit JsonWriter(JsonValue& aJson)
    : mJson(aJson)
  {
  }

  template<typename T>
  void operator()(const char* aName, const T& aValue, Presence = Presence::Optional);

private:
  JsonValue& mJson;
};

namespace detail {

using Problems = std::vector<JsonProblem>;

void
ReadScalar(const JsonValue&, const std::string&, std::string&, Problems&);
void
ReadScalar(const JsonValue&, const std::string&, bool&, Problems&);
void
ReadScalar(const JsonValue&, const std::string&, double&, Problems&);
void
ReadScalar(const JsonValue&, const std::string&, std::int64_t&, Problems&);
void
ReadScalar(const JsonValue&, const std::string&, Duration&, Problems&);
void
ReadScalar(const JsonValue&, const std::string&, TimePoint&, Problems&);
bool
CheckObject(const JsonValue&, const std::string&, Problems&);
bool
CheckArray(const JsonValue&, const std::string&, Problems&);
bool
CheckRange(bool aInRange, const std::string&, Problems&);
std::string
ItemPath(const std::string& aPath, std::size_t aIndex);
std::string
MemberPath(const std::string& aPath, const std::string& aName);

template<typename T>
struct IsId : std::false_type
{
};
template<typename Tag>
struct IsId<Id<Tag>> : std::true_type
{
};
template<typename T>
struct IsVector : std::false_type
{
};
template<typename T>
struct IsVector<std::vector<T>> : std::true_type
{
};
template<typename T>
struct IsVector<std::deque<T>> : std::true_type
{
};
template<typename T>
struct IsSet : std::false_type
{
};
template<typename T>
struct IsSet<std::set<T>> : std::true_type
{
};
template<typename T>
struct IsOptional : std::false_type
{
};
template<typename T>
struct IsOptional<std::optional<T>> : std::true_type
{
};
template<typename T>
struct IsMap : std::false_type
{
};
template<typename K, typename V>
struct IsMap<std::map<K, V>> : std::true_type
{
};

template<typename T>
void
ReadValue(const JsonValue& aJson, const std::string& aPath, T& aValue, Problems& aProblems)
{
  if constexpr (std::same_as<T, JsonValue>) {
    aValue = aJson;
  } else if constexpr (IsId<T>::value) {
    ReadScalar(aJson, aPath, aValue.mValue, aProblems);
  } else if constexpr (std::is_enum_v<T>) {
    std::string name;
    ReadScalar(aJson, aPath, name, aProblems);
    auto value = EnumValue<T>(name);
    if (!value) {
      std::string allowed;
      for (const auto& entry : EnumNames<T>::kNames) {
        allowed += (allowed.empty() ? "" : ", ") + std::string(entry.first);
      }
      aProblems.push_back({ aPath, "'" + name + "' is not one of: " + allowed });
      return;
    }
    aValue = *value;
  } else if constexpr (IsOptional<T>::value) {
    typename T::value_type value{};
    ReadValue(aJson, aPath, value, aProblems);
    aValue = std::move(value);
  } else if constexpr (IsVector<T>::value) {
    if (!CheckArray(aJson, aPath, aProblems)) {
      return;
    }
    aValue.clear();
    for (const auto& item : aJson.mItems) {
      typename T::value_type value{};
      ReadValue(item, ItemPath(aPath, aValue.size()), value, aProblems);
      aValue.push_back(std::move(value));
    }
  } else if constexpr (IsSet<T>::value) {
    std::vector<typename T::key_type> items;
    ReadValue(aJson, aPath, items, aProblems);
    aValue = T(items.begin(), items.end());
  } else if constexpr (IsMap<T>::value) {
    if (!CheckObject(aJson, aPath, aProblems)) {
      return;
    }
    aValue.clear();
    for (const auto& item : aJson.mMembers) {
      typename T::mapped_type value{};
      ReadValue(item.mValue, MemberPath(aPath, item.mName), value, aProblems);
      aValue.emplace(typename T::key_type(item.mName), std::move(value));
    }
  } else if constexpr (HasFields<T>) {
    if (!CheckObject(aJson, aPath, aProblems)) {
      return;
    }
    JsonReader reader(aJson, aPath, aProblems);
    VisitFields(reader, aValue);
    reader.NoteUnknownMembers();
  } else if constexpr (std::integral<T> && !std::same_as<T, bool>) {
    std::int64_t wide = 0;
    ReadScalar(aJson, aPath, wide, aProblems);
    if (CheckRange(std::in_range<T>(wide), aPath, aProblems)) {
      aValue = static_cast<T>(wide);
    }
  } else {
    ReadScalar(aJson, aPath, aValue, aProblems);
  }
}

template<typename T>
void
WriteValue(JsonValue& aJson, const T& aValue)
{
  if constexpr (std::same_as<T, JsonValue>) {
    aJson = aValue;
  } else if constexpr (IsId<T>::value) {
    aJson = JsonString(aValue.mValue);
  } else if constexpr (std::is_enum_v<T>) {
    aJson = JsonString(std::string(EnumName(aValue)));
  } else if constexpr (IsOptional<T>::value) {
    WriteValue(aJson, *aValue);
  } else if constexpr (std::same_as<T, Duration>) {
    aJson = JsonString(FormatDuration(aValue));
  } else if constexpr (std::same_as<T, TimePoint>) {
    aJson = JsonInteger(aValue.time_since_epoch().count());
  } else if constexpr (IsVector<T>::value || IsSet<T>::value) {
    aJson.mType = JsonValue::Type::Array;
    aJson.mItems.reserve(aValue.size());
    for (const auto& item : aValue) {
      WriteValue(aJson.mItems.emplace_back(), item);
    }
  } else if constexpr (IsMap<T>::value) {
    aJson.mType = JsonValue::Type::Object;
    for (const auto& [key, value] : aValue) {
      if constexpr (IsId<typename T::key_type>::value) {
        WriteValue(aJson.Add(key.mValue), value);
      } else {
        WriteValue(aJson.Add(key), value);
      }
    }
  } else if constexpr (HasFields<T>) {
    aJson.mType = JsonValue::Type::Object;
    JsonWriter writer(aJson);
    // VisitFields serves reading too, so that it takes the object without const.
    VisitFields(writer, const_cast<T&>(aValue));
  } else if constexpr (std::same_as<T, bool>) {
    aJson.mType = JsonValue::Type::Bool;
    aJson.mBool = aValue;
  } else if constexpr (std::integral<T>) {
    aJson = JsonInteger(static_cast<std::int64_t>(aValue));
  } else if constexpr (std::floating_point<T>) {
    aJson.mType = JsonValue::Type::Number;
    aJson.mNumber = aValue;
  } else {
    aJson = JsonString(std::string(aValue));
  }
}

}

template<typename T>
void
JsonReader::operator()(const char* aName, T& aValue, Presence aPresence)
{
  mAsked.insert(aName);
  const auto* member = mJson.Find(aName);
  if (member == nullptr || member->mType == JsonValue::Type::Null) {
    if (aPresence == Presence::Required) {
      Note(aName, "is missing");
    }
    return;
  }
  detail::ReadValue(*member, detail::MemberPath(mPath, aName), aValue, mProblems);
}

template<typename T>
void
JsonWriter::operator()(const char* aName, const T& aValue, Presence)
{
  if constexpr (detail::IsOptional<T>::value) {
    if (!aValue) {
      return;
    }
  }
  detail::WriteValue(mJson.Add(aName), aValue);
}

// Reads a whole value; the error names every mistake with its path.
template<typename T>
absl::StatusOr<T>
FromJsonValue(const JsonValue& aJson)
{
  T value{};
  std::vector<JsonProblem> problems;
  detail::ReadValue(aJson, "", value, problems);
  if (!problems.empty()) {
    return MakeError(ErrorKind::BadField, DescribeProblems(problems));
  }
  return value;
}

template<typename T>
absl::StatusOr<T>
FromJson(const std::string& aText)
{
  return FromJsonValue<T>(TRY(ParseJson(aText)));
}

template<typename T>
JsonValue
ToJsonValue(const T& aValue)
{
  JsonValue json;
  detail::WriteValue(json, aValue);
  return json;
}

template<typename T>
std::string
ToJson(const T& aValue, bool aBeautify = false)
{
  return PrintJson(ToJsonValue(aValue), aBeautify);
}

}
