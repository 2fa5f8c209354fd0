#pragma once

#include "LibDaemon/Daemon.h"
#include "LibFleet/Planner.h"
#include "LibHttp/HttpMessage.h"

namespace sesameseam {

// One maintenance in the reply to GET /maintenance.
struct MaintenanceReport
{
  MaintenanceId mMaintenance;
  MaintenancePhase mPhase = MaintenancePhase::Running;
  std::string mReason;
  std::int64_t mHosts = 0;
  std::vector<HostName> mFinished;
  std::vector<HostName> mNotReturned;
  // The hosts that still wait for maintenance, with the reasons.
  std::vector<HostWait> mWaits;
};

template<typename V>
void
VisitFields(V& aVisit, MaintenanceReport& aReport)
{
  aVisit("maintenance", aReport.mMaintenance);
  aVisit("phase", aReport.mPhase);
  aVisit("reason", aReport.mReason);
  aVisit("hosts", aReport.mHosts);
  aVisit("finished", aReport.mFinished);
  aVisit("not_returned", aReport.mNotReturned);
  aVisit("waits", aReport.mWaits);
}

HttpReply
ServeMaintenance(Daemon& aDaemon, const HttpRequest& aMessage);

}
