#include "ServicePools.h"

#include <algorithm>

namespace buckthornwing {

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
  for (std::size_t i = 0; i < this->pools.size(); ++i) {
    std::vector<TargetSlot>& pool = this->pools[i];
    const auto at = std::lower_bound(pool.begin(), pool.end(), slot);
    const bool isInPool = at != pool.end() && *at == slot;
    const bool belongs = target.takesNewFlows() &&
                         matches(services[i].selector, target.record.labels);
    if (belongs && !isInPool) {
      pool.insert(at, slot);
    } else if (!belongs && isInPool) {
      pool.erase(at);
    }
  }
}

std::span<const TargetSlot>
ServicePools::targetsOf(ServiceSlot service) const
{
  if (service >= this->pools.size()) {
    return {};
  }
  return this->pools[service];
}

}
