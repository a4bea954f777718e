#ifndef BUCKTHORNWING_EMULATOR_ROUTES_H
#define BUCKTHORNWING_EMULATOR_ROUTES_H

#include "Addresses.h"
#include "ObservedVersions.h"

#include <standin/StoreEntries.h>
#include <standin/StoreStandin.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornwing::emulator {

/// \brief The operator: publishes routes and remembers every version.
class Routes
{
public:
  static constexpr std::size_t kRouteCount = 6;

  Routes(standin::StoreStandin& store, const Addresses& addresses);

  /// \brief Publishes what changes route \a index: moves, drops or adds it.
  /// \param service none drops the route
  void change(std::size_t index, std::optional<std::string> service);

  /// \returns the service of a route at present.
  const std::optional<std::string>& serviceOf(std::size_t index) const
  {
    return this->versions.back().services[index];
  }
  static bool isIdempotent(std::size_t index) { return index % 3 != 2; }

  /// \returns the services to which a version in force since \a from sends
  /// flows of the route; an empty text stands for a version without the route.
  std::set<std::string> servicesSince(std::size_t index, MilliTime from) const;

  /// \returns the newest versions in a row that send flows of the route to
  /// \a service, by their place in the history.
  std::optional<VersionRange> versionsOf(std::size_t index,
                                         const std::string& service) const;

private:
  struct Version
  {
    std::uint64_t number = 0;
    MilliTime publishedAt;
    std::vector<std::optional<std::string>> services;
  };

  standin::StoreStandin& store;
  Addresses addresses;
  std::vector<Version> versions;

  void publish(Version version);
};

}

#endif
