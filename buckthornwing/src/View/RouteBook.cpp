#include "RouteBook.h"

#include "../Core/Hash.h"

#include <array>
#include <bit>
#include <utility>

namespace buckthornwing {

std::size_t
EndpointHash::operator()(const Endpoint& endpoint) const
{
  const auto words =
    std::bit_cast<std::array<std::uint64_t, 2>>(endpoint.address.bytes);
  return mixWords(words[0] ^ words[1], endpoint.port);
}

bool
RouteBook::apply(RouteTable newTable)
{
  if (newTable.version <= this->table.version) {
    return false;
  }
  this->table = std::move(newTable);
  this->byDestination.clear();
  this->byDestination.reserve(this->table.routes.size());
  std::uint32_t index = 0;
  for (const Route& route : this->table.routes) {
    // Of two routes to one destination the first holds.
    this->byDestination.emplace(route.destination, index);
    ++index;
  }
  return true;
}

const Route*
RouteBook::find(const Endpoint& destination) const
{
  const auto found = this->byDestination.find(destination);
  return found == this->byDestination.end()
           ? nullptr
           : &this->table.routes[found->second];
}

}
