#include "ZoneEvacuations.h"

#include <platform/StoreItems.h>

namespace buckthornwing::emulator {
namespace internal {

std::string
keyOf(const std::string& zone)
{
  return std::string(platform::kEvacuationKeyPrefix) + zone;
}

}

void
ZoneEvacuations::evacuate(const std::string& zone)
{
  this->guarantees.recordFault("evacuate", zone);
  this->store.put(internal::keyOf(zone), "");
  this->evacuations[zone] = { bootTime(), std::nullopt };
}

void
ZoneEvacuations::withdraw(const std::string& zone)
{
  const auto found = this->evacuations.find(zone);
  if (found == this->evacuations.end() || found->second.withdrawnAt) {
    return;
  }
  this->guarantees.note("evacuation withdrawn " + zone);
  this->store.remove(internal::keyOf(zone));
  found->second.withdrawnAt = bootTime();
}

void
ZoneEvacuations::writeAll()
{
  for (auto& [zone, evacuation] : this->evacuations) {
    if (evacuation.withdrawnAt) {
      this->store.remove(internal::keyOf(zone));
      evacuation.withdrawnAt = bootTime();
    } else {
      this->store.put(internal::keyOf(zone), "");
      evacuation.acknowledgedAt = bootTime();
    }
  }
}

std::optional<MilliTime>
ZoneEvacuations::since(const std::string& zone) const
{
  const auto found = this->evacuations.find(zone);
  const bool isEvacuated =
    found != this->evacuations.end() && !found->second.withdrawnAt;
  return isEvacuated ? std::optional(found->second.acknowledgedAt)
                     : std::nullopt;
}

bool
ZoneEvacuations::wasEvacuatedWithin(const std::string& zone,
                                    MilliDuration time) const
{
  const auto found = this->evacuations.find(zone);
  if (found == this->evacuations.end()) {
    return false;
  }
  const auto& withdrawnAt = found->second.withdrawnAt;
  return !withdrawnAt || bootTime() - *withdrawnAt <= time;
}

}
