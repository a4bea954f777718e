#ifndef BUCKTHORNWING_STORE_ENTRIES_H
#define BUCKTHORNWING_STORE_ENTRIES_H

#include <Core>

#include <string>
#include <vector>

namespace buckthornwing::standin {

/// \brief What a target registers of itself.
struct TargetEntry
{
  std::string service;
  Endpoint address;
  std::string zone;
  unsigned slots = 1;
  bool isDraining = false;
  std::uint64_t incarnation = 0; ///< wall clock of its start, milliseconds
};

/// \brief Where new flows to one destination go.
struct RouteEntry
{
  Endpoint destination;
  bool isIdempotent = true;
  std::string service;
};

/// \returns the store's value of a target's entry.
std::string
formatTargetEntry(const TargetEntry& entry);

/// \returns the store's value of the operator's configuration.
std::string
formatRouteEntries(std::uint64_t version,
                   const std::vector<RouteEntry>& routes,
                   const std::vector<std::string>& services);

}

#endif
