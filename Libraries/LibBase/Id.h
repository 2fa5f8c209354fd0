#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace sesameseam {

// A name that cannot be confused with a name of another kind.
template<typename Tag>
struct Id
{
  std::string mValue;

  Id() = default;
  explicit Id(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  [[nodiscard]] bool IsEmpty() const { return mValue.empty(); }
  auto operator<=>(const Id&) const = default;
};

template<typename Tag>
std::ostream&
operator<<(std::ostream& aOut, const Id<Tag>& aId)
{
  return aOut << aId.mValue;
}

using PoolName = Id<struct PoolTag>;
using PresetName = Id<struct PresetTag>;
using HostName = Id<struct HostTag>;
using RackName = Id<struct RackTag>;
using ZoneName = Id<struct ZoneTag>;
using MemberName = Id<struct MemberTag>;
using TeamName = Id<struct TeamTag>;
using OperatorName = Id<struct OperatorTag>;
using RecordId = Id<struct RecordTag>;
using RequestId = Id<struct RequestTag>;
using RequestKey = Id<struct RequestKeyTag>;
using MaintenanceId = Id<struct MaintenanceTag>;
using JobId = Id<struct JobTag>;

}

template<typename Tag>
struct std::hash<sesameseam::Id<Tag>>
{
  std::size_t operator()(const sesameseam::Id<Tag>& aId) const noexcept
  {
    return std::hash<std::string>()(aId.mValue);
  }
};
