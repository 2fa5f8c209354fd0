#include "LibBase/JsonText.h"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/jsonserializer.h>
#include <cxxtools/serializationinfo.h>
#include <limits>
#include <sstream>

namespace sesameseam::detail {

namespace {

using cxxtools::SerializationInfo;

JsonValue
FromInfo(const SerializationInfo& aInfo);

// The library keeps each scalar as its text, and tells the type by name only.
JsonValue
FromScalar(const SerializationInfo& aInfo)
{
  JsonValue value;
  const auto& type = aInfo.typeName();
  if (type == "int") {
    long long whole = 0;
    aInfo.getValue(whole);
    value.mType = JsonValue::Type::Integer;
    value.mInteger = whole;
  } else if (type == "double") {
    value.mType = JsonValue::Type::Number;
    aInfo.getValue(value.mNumber);
  } else if (type == "bool") {
    value.mType = JsonValue::Type::Bool;
    aInfo.getValue(value.mBool);
  } else if (type == "string") {
    value.mType = JsonValue::Type::String;
    aInfo.getValue(value.mString);
  }
  return value;
}

JsonValue
FromInfo(const SerializationInfo& aInfo)
{
  JsonValue value;
  switch (aInfo.category()) {
    case SerializationInfo::Object:
      value.mType = JsonValue::Type::Object;
      value.mMembers.reserve(aInfo.memberCount());
      for (const auto& member : aInfo) {
        value.mMembers.push_back({ member.name(), FromInfo(member) });
      }
      return value;
    case SerializationInfo::Array:
      value.mType = JsonValue::Type::Array;
      value.mItems.reserve(aInfo.memberCount());
      for (const auto& item : aInfo) {
        value.mItems.push_back(FromInfo(item));
      }
      return value;
    default:
      return FromScalar(aInfo);
  }
}

void
ToInfo(const JsonValue& aValue, SerializationInfo& aInfo)
{
  switch (aValue.mType) {
    case JsonValue::Type::Null:
      aInfo.setNull();
      break;
    case JsonValue::Type::Bool:
      aInfo.setValue(aValue.mBool);
      break;
    case JsonValue::Type::Integer:
      aInfo.setValue(static_cast<long long>(aValue.mInteger));
      break;
    case JsonValue::Type::Number:
      aInfo.setValue(aValue.mNumber);
      break;
    case JsonValue::Type::String:
      aInfo.setValue(aValue.mString);
      break;
    case JsonValue::Type::Array:
      aInfo.setCategory(SerializationInfo::Array);
      for (const auto& item : aValue.mItems) {
        ToInfo(item, aInfo.addMember());
      }
      break;
    case JsonValue::Type::Object:
      aInfo.setCategory(SerializationInfo::Object);
      for (const auto& member : aValue.mMembers) {
        ToInfo(member.mValue, aInfo.addMember(member.mName));
      }
      break;
  }
}

}

bool
ParseJsonText(const std::string& aText, JsonValue& aValue, std::string& aReason)
{
  try {
    std::istringstream in(aText);
    cxxtools::JsonDeserializer deserializer(in);
    SerializationInfo info;
    deserializer.deserialize(info);
    if (info.category() == SerializationInfo::Void && info.typeName() != "null") {
      aReason = "no JSON value";
      return false;
    }
    if (!(in >> std::ws).eof()) {
      aReason = "text behind the JSON value";
      return false;
    }
    aValue = FromInfo(info);
    return true;
  } catch (const std::exception& error) {
    aReason = error.what();
    return false;
  }
}

std::string
PrintJsonText(const JsonValue& aValue, bool aBeautify)
{
  SerializationInfo info;
  ToInfo(aValue, info);
  std::ostringstream out;
  cxxtools::JsonSerializer serializer(out);
  serializer.beautify(aBeautify);
  serializer.serialize(info);
  serializer.finish();
  return out.str();
}

}
