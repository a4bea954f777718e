#ifndef BUCKTHORNWING_ROUTE_BOOK_H
#define BUCKTHORNWING_ROUTE_BOOK_H

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

/// \brief What changed between two versions of the routes.
struct RouteChanges
{
  std::uint64_t base = 0; ///< version they apply to; 0: a whole table
  std::uint64_t version = 0;
  std::uint64_t revision = 0;
  MilliDuration idleTimeout{};
  std::vector<SelectedService> services; ///< all of them
  std::vector<Route> routes;             ///< new and changed ones
  std::vector<Endpoint> removed;         ///< destinations without a route now
};

/// \brief The newest known routes, looked up by destination.
class RouteBook
{
public:
  /// \brief Takes a table that is newer than the present one.
  /// \returns whether it was taken; an older version never is
  bool apply(RouteTable newTable);

  /// \brief Takes changes if they apply to the present version, or are whole.
  /// \returns whether they were taken
  bool apply(const RouteChanges& changes);

  /// \returns what an instance with an older version lacks; a whole table if
  /// this instance never had that version.
  RouteChanges changesSince(std::uint64_t version) const;

  /// \returns the route to a destination, or null.
  const Route* find(const Endpoint& destination) const;

  /// \returns whether a destination had a route here that a later version
  /// dropped.
  bool sawRemoval(const Endpoint& destination) const;

  std::uint64_t version() const { return this->table.version; }
  bool loaded() const { return this->table.version > 0; }
  const RouteTable& routes() const { return this->table; }

private:
  RouteTable table;
  using ByDestination =
    boost::unordered_flat_map<Endpoint, std::uint32_t, EndpointHash>;

  /// \brief A destination that lost its route in a version.
  struct Removal
  {
    Endpoint destination;
    std::uint64_t version = 0;
  };

  /// \brief Versions that changes can be told from.
  static constexpr std::size_t kMostVersions = 32;

  ByDestination byDestination;
  std::vector<std::uint64_t> changedIn; ///< version, for each route
  std::vector<Removal> removals;
  std::deque<std::uint64_t> versions; ///< that were in force here

  void noteChanges(const RouteTable& old, const ByDestination& oldIndex);
};

}

#endif
