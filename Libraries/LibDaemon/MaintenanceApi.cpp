#include "LibDaemon/MaintenanceApi.h"

#include "LibEntry/Leader.h"

namespace sesameseam {

namespace {

std::vector<MaintenanceReport>
ReportsOf(const Control& aControl, TimePoint aNow)
{
  auto waits =
    ExplainWaits(aControl.mSettings.mPlanner, aControl.mFleet, LoadOfFleet(aControl, aNow), aNow);
  std::vector<MaintenanceReport> reports;
  for (const auto& [id, maintenance] : aControl.mFleet.mMaintenances) {
    MaintenanceReport report;
    report.mMaintenance = id;
    report.mPhase = maintenance.mPhase;
    report.mReason = maintenance.mReason;
    report.mHosts = std::ssize(maintenance.mDeclared.mHosts);
    report.mFinished.assign(maintenance.mFinished.begin(), maintenance.mFinished.end());
    report.mNotReturned.assign(maintenance.mNotReturned.begin(), maintenance.mNotReturned.end());
    std::copy_if(waits.begin(),
                 waits.end(),
                 std::back_inserter(report.mWaits),
                 [&, name = id](const HostWait& aWait) { return aWait.mMaintenance == name; });
    reports.push_back(std::move(report));
  }
  return reports;
}

}

HttpReply
ServeMaintenance(Daemon& aDaemon, const HttpRequest&)
{
  auto now = aDaemon.Now();
  auto reports =
    aDaemon.ReadControl([&](const auto& aControl) { return ReportsOf(aControl, now); });
  return JsonReply(200, ToJson(reports));
}

}
