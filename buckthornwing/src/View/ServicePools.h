#ifndef BUCKTHORNWING_SERVICE_POOLS_H
#define BUCKTHORNWING_SERVICE_POOLS_H

#include "RouteBook.h"
#include "TargetRegistry.h"

#include <span>
#include <vector>

namespace buckthornwing {

/// \brief The targets that each service's selector selects and that take new
/// flows.
class ServicePools
{
public:
  /// \brief Selects all targets anew, after a change of the services.
  void rebuild(const RouteBook& routes, const TargetRegistry& registry);

  /// \brief Selects one target anew, after a change of its record.
  void update(const RouteBook& routes,
              const TargetRegistry& registry,
              TargetSlot slot);

  /// \returns targets for new flows of a service, in ascending order.
  std::span<const TargetSlot> targetsOf(ServiceSlot service) const;

private:
  std::vector<std::vector<TargetSlot>> pools;
};

}

#endif
