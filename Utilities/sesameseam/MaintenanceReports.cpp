#include "MaintenanceReports.h"

#include "LibDaemon/MaintenanceApi.h"

#include <iostream>

namespace sesameseam {

namespace {

absl::StatusOr<std::vector<MaintenanceReport>>
FetchReports(const OperatorClient& aClient)
{
  return FromJson<std::vector<MaintenanceReport>>(TRY(Fetch(aClient, "/maintenance")));
}

// Returns the report of the maintenance with the id, or all reports if the id is empty.
absl::StatusOr<std::vector<MaintenanceReport>>
FetchReports(const OperatorClient& aClient, const std::string& aId)
{
  auto reports = TRY(FetchReports(aClient));
  std::erase_if(reports, [&](const auto& aReport) {
    return !aId.empty() && aReport.mMaintenance.mValue != aId;
  });
  if (reports.empty() && !aId.empty()) {
    return MakeError(ErrorKind::UnknownMaintenance, "no maintenance '" + aId + "'");
  }
  return reports;
}

void
PrintHeader(const MaintenanceReport& aReport)
{
  std::cout << "maintenance " << aReport.mMaintenance << " " << EnumName(aReport.mPhase) << ": "
            << aReport.mFinished.size() << " of " << aReport.mHosts << " hosts done";
  if (!aReport.mReason.empty()) {
    std::cout << " (" << aReport.mReason << ")";
  }
  std::cout << "\n";
}

void
PrintWaits(const MaintenanceReport& aReport)
{
  for (const auto& wait : aReport.mWaits) {
    std::cout << "  host " << wait.mHost << ": " << wait.mReason << "\n";
  }
}

// Prints why the host waits, over all maintenance.
int
PrintHostWaits(const std::vector<MaintenanceReport>& aReports, const HostName& aHost)
{
  bool found = false;
  for (const auto& report : aReports) {
    for (const auto& wait : report.mWaits) {
      if (wait.mHost == aHost) {
        std::cout << "host " << aHost << ", maintenance " << report.mMaintenance << ": "
                  << wait.mReason << "\n";
        found = true;
      }
    }
  }
  if (!found) {
    std::cout << "host " << aHost << " waits for no maintenance\n";
  }
  return kExitSuccess;
}

}

int
ShowMaintenance(const CommandContext& aContext, const std::string& aId)
{
  auto reports = FetchReports(aContext.mClient, aId);
  if (!reports.ok()) {
    return ReportError(reports.status());
  }
  if (aContext.mJson) {
    std::cout << ToJson(*reports) << "\n";
    return kExitSuccess;
  }
  for (const auto& report : *reports) {
    PrintHeader(report);
    PrintWaits(report);
    for (const auto& host : report.mNotReturned) {
      std::cout << "  host " << host << " did not return\n";
    }
  }
  if (reports->empty()) {
    std::cout << "no maintenance is declared\n";
  }
  return kExitSuccess;
}

int
ShowWhyHostWaits(const CommandContext& aContext, const std::string& aHost)
{
  auto reports = FetchReports(aContext.mClient);
  if (!reports.ok()) {
    return ReportError(reports.status());
  }
  return PrintHostWaits(*reports, HostName(aHost));
}

}
