#pragma once

#include "LibBase/Id.h"
#include "LibBase/Json.h"
#include "LibBase/Time.h"

#include <array>
#include <cstdint>

// Log records that allow a maintenance wave to continue after the loss of the leader that ran it.
namespace sesameseam {

// Announces that the leader will ask the platform to reboot the drained host. It asks only after
// the fold has accepted this record, so that a later leader knows that a reboot may be in progress.
struct HostRebootRequested
{
  HostName mHost;
  // The boot count before the reboot. The host is back once the platform lists a higher one.
  std::int64_t mBoots = 0;
  std::int64_t mEpoch = 0;
};

template<typename V>
void
VisitFields(V& aVisit, HostRebootRequested& aChange)
{
  aVisit("host", aChange.mHost, Presence::Required);
  aVisit("boots", aChange.mBoots, Presence::Required);
  aVisit("epoch", aChange.mEpoch, Presence::Required);
}

enum class HostFailure
{
  // The host was rebooted for maintenance and did not come back in time.
  NotReturned,
  // The platform no longer lists a host that was in service.
  Lost,
};

template<>
struct EnumNames<HostFailure>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, HostFailure>{ "not-returned", HostFailure::NotReturned },
    std::pair<std::string_view, HostFailure>{ "lost", HostFailure::Lost },
  };
};

struct HostFailed
{
  HostName mHost;
  HostFailure mFailure = HostFailure::Lost;
  std::int64_t mEpoch = 0;
};

template<typename V>
void
VisitFields(V& aVisit, HostFailed& aChange)
{
  aVisit("host", aChange.mHost, Presence::Required);
  aVisit("failure", aChange.mFailure, Presence::Required);
  aVisit("epoch", aChange.mEpoch, Presence::Required);
}

// The platform lists a lost host as live again.
struct HostRecovered
{
  HostName mHost;
};

template<typename V>
void
VisitFields(V& aVisit, HostRecovered& aChange)
{
  aVisit("host", aChange.mHost, Presence::Required);
}

}
