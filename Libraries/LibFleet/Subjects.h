#pragma once

#include "LibFleet/Records.h"

#include <string>

namespace sesameseam {

// Describes the subject of a change for the audit trail, as keywords that are each followed by a
// name, such as "host h1 pool previews".
std::string
DescribeSubject(const Change& aChange);

}
