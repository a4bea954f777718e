#ifndef BUCKTHORNWING_STORE_ENTRIES_H
#define BUCKTHORNWING_STORE_ENTRIES_H

#include <Core>

#include <string>
#include <vector>

namespace buckthornwing::standin {

/// \brief A target's registration of itself in the metadata store.
struct TargetRegistration
{
  std::string service;
  Endpoint address;
  std::string zone;
  unsigned slots = 1;
  bool isDraining = false;
  std::uint64_t incarnation = 0; ///< start time, ms of wall clock time
  MilliDuration remainingWarmUp{};
};

/// \brief The service that receives new flows to a destination.
struct RouteDefinition
{
  Endpoint destination;
  bool isIdempotent = true;
  std::string service;
};

/// \returns a target's registration as the JSON value that the store holds.
std::string
formatTargetRegistration(const TargetRegistration& entry);

/// \returns the operator's configuration as the JSON value that the store
/// holds.
std::string
formatConfiguration(std::uint64_t version,
                    const std::vector<RouteDefinition>& routes,
                    const std::vector<std::string>& services);

}

#endif
