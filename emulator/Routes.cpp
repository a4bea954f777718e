#include "Routes.h"

#include <platform/StoreItems.h>
#include <src/Io/WallClock.h>

namespace buckthornwing::emulator {

Routes::Routes(standin::StoreStandin& store,
               const Addresses& addresses,
               std::vector<std::string> services)
  : store(store)
  , addresses(addresses)
  , serviceNames(std::move(services))
{
  Version first{ 3, bootTime(), {} };
  for (std::size_t i = 0; i < kRouteCount; ++i) {
    first.services.emplace_back(
      this->serviceNames[i % this->serviceNames.size()]);
  }
  this->publish(std::move(first));
}

void
Routes::change(std::size_t index, std::optional<std::string> service)
{
  Version next = this->versions.back();
  next.number += 1 + index;
  next.publishedAt = bootTime();
  next.services[index] = std::move(service);
  this->publish(std::move(next));
}

std::set<std::string>
Routes::servicesSince(std::size_t index, MilliTime from) const
{
  std::set<std::string> services;
  for (std::size_t i = this->versions.size(); i-- > 0;) {
    services.insert(this->versions[i].services[index].value_or(""));
    if (this->versions[i].publishedAt <= from) {
      break;
    }
  }
  return services;
}

std::optional<VersionRange>
Routes::versionsOf(std::size_t index, const std::string& service) const
{
  std::optional<VersionRange> range;
  for (std::size_t i = this->versions.size(); i-- > 0;) {
    if (this->versions[i].services[index] == service) {
      range = VersionRange{ i, range ? range->newest : i };
    } else if (range) {
      break;
    }
  }
  return range;
}

void
Routes::publish(Version version)
{
  this->versions.push_back(std::move(version));
  this->writeNewest();
}

void
Routes::writeNewest()
{
  const Version& version = this->versions.back();
  std::vector<standin::RouteDefinition> routes;
  for (std::size_t i = 0; i < kRouteCount; ++i) {
    if (version.services[i]) {
      routes.push_back({ this->addresses.destination(i),
                         isIdempotent(i),
                         *version.services[i] });
    }
  }
  this->store.put(
    std::string(platform::kRoutesKey),
    standin::formatConfiguration(version.number, routes, this->serviceNames));
}

}
