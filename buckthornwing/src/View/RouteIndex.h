#ifndef BUCKTHORNWING_ROUTE_INDEX_H
#define BUCKTHORNWING_ROUTE_INDEX_H

#include "Route.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <deque>
#include <vector>

namespace buckthornwing {

/// \brief Hash of an endpoint for hash maps.
struct EndpointHash
{
  std::size_t operator()(const Endpoint& endpoint) const;
};

/// \brief Difference between two versions of the routes, or a complete table.
struct RouteChanges
{
  std::uint64_t base = 0; ///< version they apply to; 0: a complete table
  std::uint64_t version = 0;
  MilliDuration idleTimeout{};
  std::vector<SelectedService> services; ///< complete list
  std::vector<Route> routes;             ///< new and changed ones
  std::vector<Endpoint> removed; ///< destinations that no longer have a route
};

/// \brief The newest known routes, indexed by destination.
///
/// It keeps a short history of versions, so that peers can be sent differences.
class RouteIndex
{
public:
  /// \brief Replaces the table by a newer one.
  /// \returns false, without a change, if the version is not newer
  bool apply(RouteTable newTable);

  /// \brief Applies a difference to the current version, or a complete table.
  /// \returns false, without a change, if the base is not the current version
  /// or the new version is not newer
  bool apply(const RouteChanges& changes);

  /// \returns the difference from an older version to the current one; a
  /// complete table if the older version is not in the history.
  RouteChanges changesSince(std::uint64_t version) const;

  /// \returns the route to a destination, or null.
  const Route* find(const Endpoint& destination) const;

  std::uint64_t version() const { return this->table.version; }
  /// \returns whether any table was applied.
  bool loaded() const { return this->table.version > 0; }
  const RouteTable& routes() const { return this->table; }

private:
  RouteTable table;
  using ByDestination =
    boost::unordered_flat_map<Endpoint, std::uint32_t, EndpointHash>;

  /// \brief A destination whose route was removed, and the version that did so.
  struct Removal
  {
    Endpoint destination;
    std::uint64_t version = 0;
  };

  /// \brief Length of the history: versions that can be the base of a
  /// difference.
  static constexpr std::size_t kMaxVersions = 32;

  ByDestination byDestination;
  std::vector<std::uint64_t>
    changedInVersion; ///< version of its last change, for each route
  std::vector<Removal> removals;
  std::deque<std::uint64_t> versions; ///< history of versions that were applied

  void noteChanges(const RouteTable& old, const ByDestination& oldIndex);
};

}

#endif
