#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sesameseam {

struct JsonMember;

// A JSON document in memory. Members keep the order of the text.
struct JsonValue
{
  enum class Type
  {
    Null,
    Bool,
    Integer,
    Number,
    String,
    Array,
    Object,
  };

  Type mType = Type::Null;
  bool mBool = false;
  std::int64_t mInteger = 0;
  double mNumber = 0.0;
  std::string mString;
  std::vector<JsonValue> mItems;
  std::vector<JsonMember> mMembers;

  const JsonValue* Find(const std::string& aName) const;
  JsonValue& Add(const std::string& aName);
};

struct JsonMember
{
  std::string mName;
  JsonValue mValue;
};

inline const JsonValue*
JsonValue::Find(const std::string& aName) const
{
  for (const auto& member : mMembers) {
    if (member.mName == aName) {
      return &member.mValue;
    }
  }
  return nullptr;
}

inline JsonValue&
JsonValue::Add(const std::string& aName)
{
  mType = Type::Object;
  mMembers.push_back({ aName, JsonValue() });
  return mMembers.back().mValue;
}

inline JsonValue
JsonString(std::string aText)
{
  JsonValue value;
  value.mType = JsonValue::Type::String;
  value.mString = std::move(aText);
  return value;
}

inline JsonValue
JsonInteger(std::int64_t aNumber)
{
  JsonValue value;
  value.mType = JsonValue::Type::Integer;
  value.mInteger = aNumber;
  return value;
}

}
