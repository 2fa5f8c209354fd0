#pragma once

#include "LibBase/Id.h"
#include "LibBase/Json.h"
#include "LibBase/Time.h"

#include <array>
#include <cstdint>

// The records by which a maintenance wave survives the loss of the leader that ran it.
namespace sesameseam {

// The leader will ask the platform to reboot the drained host. It does so only after the fold
// has accepted this record, so that a later leader knows that a reboot may be under way.
struct HostRebootRequested
{
  HostName mHost;
  // The count of boots before the reboot. The host is back once the platform lists more.
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
