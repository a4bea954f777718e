#include "RouteIndex.h"

#include "../Core/Hash.h"

#include <algorithm>
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
RouteIndex::apply(RouteTable newTable)
{
  if (newTable.version <= this->table.version) {
    return false;
  }
  const RouteTable old = std::move(this->table);
  const ByDestination oldIndex = std::move(this->byDestination);
  this->table = std::move(newTable);
  this->byDestination.clear();
  // If several routes have the same destination, the first one is used.
  std::erase_if(this->table.routes, [this](const Route& route) {
    const auto index = static_cast<std::uint32_t>(this->byDestination.size());
    return !this->byDestination.emplace(route.destination, index).second;
  });
  this->noteChanges(old, oldIndex);
  return true;
}

void
RouteIndex::noteChanges(const RouteTable& old, const ByDestination& oldIndex)
{
  const std::uint64_t version = this->table.version;
  std::vector<std::uint64_t> changed;
  changed.reserve(this->table.routes.size());
  for (const Route& route : this->table.routes) {
    const auto known = oldIndex.find(route.destination);
    const bool isSame =
      known != oldIndex.end() && old.routes[known->second] == route;
    changed.push_back(isSame ? this->changedInVersion[known->second] : version);
  }
  for (const Route& route : old.routes) {
    if (!this->byDestination.contains(route.destination)) {
      this->removals.push_back({ route.destination, version });
    }
  }
  this->changedInVersion = std::move(changed);
  this->versions.push_back(version);
  if (this->versions.size() > kMaxVersions) {
    this->versions.pop_front();
  }
  std::erase_if(this->removals, [this](const Removal& removal) {
    return removal.version < this->versions.front();
  });
}

RouteChanges
RouteIndex::changesSince(std::uint64_t version) const
{
  RouteChanges changes;
  changes.version = this->table.version;
  changes.idleTimeout = this->table.idleTimeout;
  changes.services = this->table.services;
  const bool isInHistory =
    std::find(this->versions.begin(), this->versions.end(), version) !=
    this->versions.end();
  if (!isInHistory) {
    changes.routes = this->table.routes;
    return changes;
  }
  changes.base = version;
  for (std::size_t i = 0; i < this->table.routes.size(); ++i) {
    if (this->changedInVersion[i] > version) {
      changes.routes.push_back(this->table.routes[i]);
    }
  }
  for (const Removal& removal : this->removals) {
    if (removal.version > version) {
      changes.removed.push_back(removal.destination);
    }
  }
  return changes;
}

bool
RouteIndex::apply(const RouteChanges& changes)
{
  const bool isWhole = changes.base == 0;
  if (!isWhole && changes.base != this->table.version) {
    return false;
  }
  RouteTable merged;
  merged.version = changes.version;
  merged.idleTimeout = changes.idleTimeout;
  merged.services = changes.services;
  merged.routes = changes.routes;
  if (!isWhole) {
    // Changed routes come first, so that apply() prefers them to the old ones.
    for (const Route& route : this->table.routes) {
      const bool isGone = std::find(changes.removed.begin(),
                                    changes.removed.end(),
                                    route.destination) != changes.removed.end();
      if (!isGone) {
        merged.routes.push_back(route);
      }
    }
  }
  return this->apply(std::move(merged));
}

const Route*
RouteIndex::find(const Endpoint& destination) const
{
  const auto found = this->byDestination.find(destination);
  return found == this->byDestination.end()
           ? nullptr
           : &this->table.routes[found->second];
}

}
