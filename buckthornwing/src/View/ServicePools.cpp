#include "ServicePools.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Adds a slot to a pool in ascending order, or removes it.
void
setMember(std::vector<TargetSlot>& pool, TargetSlot slot, bool belongs)
{
  const auto at = std::lower_bound(pool.begin(), pool.end(), slot);
  const bool isInPool = at != pool.end() && *at == slot;
  if (belongs && !isInPool) {
    pool.insert(at, slot);
  } else if (!belongs && isInPool) {
    pool.erase(at);
  }
}

}

bool
ServicePools::isEvacuated(std::string_view zone) const
{
  return std::find(this->evacuatedZones.begin(),
                   this->evacuatedZones.end(),
                   zone) != this->evacuatedZones.end();
}

void
ServicePools::rebuild(const RouteIndex& routes, const TargetRegistry& registry)
{
  this->pools.assign(routes.routes().services.size(), {});
  for (TargetSlot slot = 0; slot < registry.targets().size(); ++slot) {
    this->update(routes, registry, slot);
  }
}

void
ServicePools::update(const RouteIndex& routes,
                     const TargetRegistry& registry,
                     TargetSlot slot)
{
  const KnownTarget& target = registry.at(slot);
  const auto& services = routes.routes().services;
  const bool isEvacuated = this->isEvacuated(target.record.zone);
  for (std::size_t i = 0; i < this->pools.size(); ++i) {
    const bool belongs = target.takesNewFlows() &&
                         matches(services[i].selector, target.record.labels);
    Pool& pool = this->pools[i];
    internal::setMember(pool.open, slot, belongs && !isEvacuated);
    internal::setMember(pool.evacuated, slot, belongs && isEvacuated);
  }
}

std::span<const TargetSlot>
ServicePools::targetsOf(ServiceSlot service) const
{
  if (service >= this->pools.size()) {
    return {};
  }
  return this->pools[service].open;
}

std::span<const TargetSlot>
ServicePools::evacuatedTargetsOf(ServiceSlot service) const
{
  if (service >= this->pools.size()) {
    return {};
  }
  return this->pools[service].evacuated;
}

}
