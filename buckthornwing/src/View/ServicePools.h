#ifndef BUCKTHORNWING_SERVICE_POOLS_H
#define BUCKTHORNWING_SERVICE_POOLS_H

#include "RouteIndex.h"
#include "TargetRegistry.h"

#include <span>
#include <vector>

namespace buckthornwing {

/// \brief For each service, the targets that its selector matches and that take
/// new flows.
class ServicePools
{
public:
  /// \brief Recomputes all pools; required after a change of the services.
  void rebuild(const RouteIndex& routes, const TargetRegistry& registry);

  /// \brief Updates the pools for one target; required after a change of its
  /// record.
  void update(const RouteIndex& routes,
              const TargetRegistry& registry,
              TargetSlot slot);

  /// \returns the targets for new flows of a service, in ascending order of
  /// their slots; empty if the service is unknown.
  std::span<const TargetSlot> targetsOf(ServiceSlot service) const;

private:
  std::vector<std::vector<TargetSlot>> pools;
};

}

#endif
