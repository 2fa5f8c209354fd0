#pragma once

#include "LibDaemon/OperatorApi.h"
#include "LibHttp/HttpCall.h"

#include <string>
#include <vector>

namespace sesameseam {

// Talks to the operators' address of entry hosts, and takes the next one where one fails.
struct OperatorClient
{
  std::vector<Address> mEntryHosts;
  std::string mToken;
  std::string mOperator;
};

// Sends the change until an entry host gives the fold's decision. A repeated send carries the
// same id, so that the change is made once.
absl::StatusOr<Decision>
SendChange(const OperatorClient& aClient,
           const std::string& aKind,
           std::optional<Offset> aBasedOn,
           const JsonValue& aBody);

absl::StatusOr<std::string>
Fetch(const OperatorClient& aClient, const std::string& aPath);
absl::StatusOr<StatusReply>
FetchStatus(const OperatorClient& aClient);

// Waits until the version is in force on every member. The error names the members that lag.
absl::Status
WaitUntilInForce(const OperatorClient& aClient, Offset aVersion, Duration aTimeout);

}
