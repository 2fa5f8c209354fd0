#include "LibDaemon/MetricsPage.h"

#include "LibBase/MetricsText.h"

namespace sesameseam {

namespace {

void
AddPool(MetricsText& aText, const PoolServer& aServer)
{
  const auto& counters = aServer.mCounters;
  MetricLabels pool = { { "pool", aServer.mView.mPool.mValue } };
  aText.Counter("sesameseam_requests_accepted_total",
                "Requests that were taken in.",
                pool,
                static_cast<double>(counters.mAccepted));
  aText.Counter("sesameseam_requests_refused_total",
                "Requests that were refused at once.",
                pool,
                static_cast<double>(counters.mRefused));
  const std::pair<OutcomeKind, std::int64_t> outcomes[] = {
    { OutcomeKind::Answered, counters.mAnswered },
    { OutcomeKind::NotRun, counters.mNotRun },
    { OutcomeKind::Unknown, counters.mUnknown },
  };
  for (const auto& [kind, count] : outcomes) {
    auto labels = pool;
    labels.emplace_back("outcome", std::string(EnumName(kind)));
    aText.Counter("sesameseam_outcomes_total",
                  "Outcomes that were given, peers' requests included.",
                  labels,
                  static_cast<double>(count));
  }
  aText.Counter("sesameseam_attempts_dispatched_total",
                "Attempts that were sent to targets.",
                pool,
                static_cast<double>(counters.mDispatched));
  aText.Counter("sesameseam_attempts_forwarded_total",
                "Attempts that were sent to peers.",
                pool,
                static_cast<double>(counters.mForwarded));
  aText.Counter("sesameseam_attempts_retried_total",
                "Attempts after the first.",
                pool,
                static_cast<double>(counters.mRetried));
  aText.Gauge("sesameseam_queue_length",
              "Requests that wait here.",
              pool,
              static_cast<double>(Size(aServer.mQueue)));
  aText.Gauge("sesameseam_home_slots",
              "Slots of targets that this entry host owns.",
              pool,
              static_cast<double>(aServer.mSlots.mOwned.size()));
}

void
AddControl(MetricsText& aText, const Control& aControl)
{
  const auto& counters = aControl.mCounters;
  aText.Counter("sesameseam_records_folded_total",
                "Records of the log that were folded.",
                {},
                static_cast<double>(counters.mRecordsFolded));
  aText.Counter("sesameseam_log_appends_total",
                "Appends to the log.",
                {},
                static_cast<double>(counters.mAppends));
  aText.Counter("sesameseam_log_appends_failed_total",
                "Appends that failed or whose answer was lost.",
                {},
                static_cast<double>(counters.mAppendsFailed));
  aText.Counter("sesameseam_log_reads_failed_total",
                "Reads of the log that failed.",
                {},
                static_cast<double>(counters.mReadsFailed));
  aText.Counter("sesameseam_records_unreadable_total",
                "Records that could not be read and are out of force.",
                {},
                static_cast<double>(aControl.mFleet.mUnreadable));
  aText.Counter("sesameseam_host_moves_total",
                "Moves of hosts between pools that this entry host saw.",
                {},
                static_cast<double>(counters.mHostMoves));
  aText.Gauge("sesameseam_config_version",
              "The version of the configuration in force here.",
              {},
              static_cast<double>(aControl.mFleet.mVersion));
  aText.Gauge("sesameseam_members",
              "Entry hosts in the member set.",
              {},
              static_cast<double>(aControl.mFleet.mMembers.size()));
}

void
AddFleetMetrics(MetricsText& aText, const FleetMetrics& aMetrics)
{
  for (const auto& [pool, cost] : aMetrics.mBufferCosts) {
    MetricLabels labels = { { "pool", pool.mValue } };
    aText.Gauge("sesameseam_buffer_hosts",
                "Hosts in service beyond those that the preset in force asks for.",
                labels,
                cost.mBufferHosts);
    aText.Counter("sesameseam_buffer_host_hours_total",
                  "Host-hours held beyond what the preset in force asks for.",
                  labels,
                  cost.mHostHours);
  }
  aText.Summary("sesameseam_roll_out_seconds",
                "From the time of a change to its being in force on every member.",
                {},
                aMetrics.mRollOutDurations);
}

void
AddRequests(MetricsText& aText, RequestMetrics& aMetrics)
{
  aMetrics.Read([&](const RequestLabels& aLabels, const DurationHistogram& aHistogram) {
    aText.Summary("sesameseam_request_seconds",
                  "From the arrival of a caller's request to its outcome.",
                  { { "pool", aLabels.mPool },
                    { "class", std::string(EnumName(aLabels.mClass)) },
                    { "outcome", std::string(EnumName(aLabels.mOutcome)) } },
                  aHistogram);
  });
}

}

HttpReply
ServeMetrics(Daemon& aDaemon)
{
  MetricsText text;
  aDaemon.ReadPools([&](const PoolServer& aServer) { AddPool(text, aServer); });
  aDaemon.ReadControl([&](const Control& aControl) {
    AddControl(text, aControl);
    return 0;
  });
  AddFleetMetrics(text, aDaemon.CurrentFleetMetrics());
  AddRequests(text, aDaemon.RequestDurations());
  HttpReply reply;
  reply.mHeaders.push_back({ "Content-Type", "text/plain; version=0.0.4" });
  reply.mBody = text.Print();
  return reply;
}

}
