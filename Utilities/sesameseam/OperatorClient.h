#pragma once

#include "LibDaemon/OperatorApi.h"
#include "LibHttp/HttpCall.h"

#include <string>
#include <vector>

namespace sesameseam {

// Calls the operators' address of the entry hosts. Fails over to the next one if a call fails or is
// answered with status 503.
struct OperatorClient
{
  std::vector<Address> mEntryHosts;
  std::string mToken;
  std::string mOperator;
};

// Sends the change to one entry host after the other until one returns the fold's decision. Each
// send carries the same record id, so that a repeated send is idempotent.
absl::StatusOr<Decision>
SendChange(const OperatorClient& aClient,
           const std::string& aKind,
           std::optional<Offset> aBasedOn,
           const JsonValue& aBody);

absl::StatusOr<std::string>
Fetch(const OperatorClient& aClient, const std::string& aPath);
absl::StatusOr<StatusReply>
FetchStatus(const OperatorClient& aClient);

// Waits until the version is in force on every member. The error on timeout lists the members that
// lag behind.
absl::Status
WaitUntilInForce(const OperatorClient& aClient, Offset aVersion, Duration aTimeout);

}
