#include "Commands.h"

#include <iostream>

namespace sesameseam {

namespace {

constexpr Duration kInForceTimeout = 17s;

int
PrintDecision(const CommandContext& aContext, const Decision& aDecision)
{
  if (aContext.mJson) {
    std::cout << ToJson(aDecision) << "\n";
  } else if (aDecision.mAccepted) {
    std::cout << "accepted as version " << aDecision.mOffset << ": " << aDecision.mKind << " "
              << aDecision.mSubject << "\n";
  } else {
    std::cerr << "refused: " << aDecision.mReason << "\n";
  }
  return aDecision.mAccepted ? kExitSuccess : kExitRefused;
}

}

int
ReportError(const absl::Status& aError)
{
  std::cerr << "sesameseam: " << NameOf(KindOf(aError)) << ": " << aError.message() << "\n";
  switch (KindOf(aError)) {
    case ErrorKind::ConnectionRefused:
    case ErrorKind::ConnectionBroken:
    case ErrorKind::DeadlineExceeded:
    case ErrorKind::LogUnavailable:
      return kExitUnreachable;
    default:
      return kExitUsageError;
  }
}

void
AddBasedOnOption(CLI::App& aCommand, std::optional<Offset>& aBasedOn)
{
  aCommand.add_option(
    "--based-on", aBasedOn, "The version that you saw; refused if the subject changed since");
}

int
SendAndReport(const CommandContext& aContext,
              const std::string& aKind,
              std::optional<Offset> aBasedOn,
              const JsonValue& aBody)
{
  if (aContext.mClient.mOperator.empty()) {
    return ReportError(
      MakeError(ErrorKind::BadField, "a change needs the operator's name: --operator NAME"));
  }
  auto decision = SendChange(aContext.mClient, aKind, aBasedOn, aBody);
  if (!decision.ok()) {
    return ReportError(decision.status());
  }
  auto exit = PrintDecision(aContext, *decision);
  if (exit != kExitSuccess || !aContext.mWait) {
    return exit;
  }
  auto inForce = WaitUntilInForce(aContext.mClient, decision->mOffset, kInForceTimeout);
  if (!inForce.ok()) {
    std::cerr << inForce.message() << "\n";
    return kExitNotInForce;
  }
  return kExitSuccess;
}

}
