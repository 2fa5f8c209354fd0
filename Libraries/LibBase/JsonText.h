#pragma once

#include "LibBase/JsonValue.h"

#include <string>

// The headers of cxxtools need C++17, while the rest of the project is C++20. This header
// is plain enough for both.
namespace sesameseam::detail {

// Gives false and the reason where the text is no JSON document.
bool
ParseJsonText(const std::string& aText, JsonValue& aValue, std::string& aReason);

std::string
PrintJsonText(const JsonValue& aValue, bool aBeautify);

}
