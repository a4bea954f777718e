#ifndef BUCKTHORNWING_SERVICE_POOLS_H
#define BUCKTHORNWING_SERVICE_POOLS_H

#include "RouteIndex.h"
#include "TargetRegistry.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief For each service, the targets that its selector matches and that take
/// new flows. Those of evacuated zones are kept apart.
class ServicePools
{
public:
  /// \brief Sets the evacuated zones; rebuild() is required afterwards.
  void setEvacuatedZones(std::vector<std::string> zones)
  {
    this->evacuatedZones = std::move(zones);
  }
  /// \returns whether a zone is evacuated.
  bool isEvacuated(std::string_view zone) const;
  /// \returns the evacuated zones, in ascending order.
  std::span<const std::string> zonesEvacuated() const
  {
    return this->evacuatedZones;
  }

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

  /// \returns the targets of a service that take no new flows only because
  /// their zones are evacuated, in ascending order of their slots.
  std::span<const TargetSlot> evacuatedTargetsOf(ServiceSlot service) const;

private:
  /// \brief Targets of one service that could take new flows.
  struct Pool
  {
    std::vector<TargetSlot> open;
    std::vector<TargetSlot> evacuated;
  };

  std::vector<Pool> pools;
  std::vector<std::string> evacuatedZones;
};

}

#endif
