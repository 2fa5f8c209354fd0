#pragma once

#include "LibFleet/Records.h"

#include <string>

namespace sesameseam {

// What a change is about, for the audit trail: words with the names behind them, such as
// "host h1 pool previews".
std::string
DescribeSubject(const Change& aChange);

}
