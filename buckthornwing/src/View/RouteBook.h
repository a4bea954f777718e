#ifndef BUCKTHORNWING_ROUTE_BOOK_H
#define BUCKTHORNWING_ROUTE_BOOK_H

#include "Route.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>

namespace buckthornwing {

/// \brief Hash of an endpoint for hash maps.
struct EndpointHash
{
  std::size_t operator()(const Endpoint& endpoint) const;
};

/// \brief The newest known routes, looked up by destination.
class RouteBook
{
public:
  /// \brief Takes a table that is newer than the present one.
  /// \returns whether it was taken; an older version never is
  bool apply(RouteTable newTable);

  /// \returns the route to a destination, or null.
  const Route* find(const Endpoint& destination) const;

  std::uint64_t version() const { return this->table.version; }
  bool loaded() const { return this->table.version > 0; }
  const RouteTable& routes() const { return this->table; }

private:
  RouteTable table;
  boost::unordered_flat_map<Endpoint, std::uint32_t, EndpointHash> byDestination;
};

}

#endif
