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

/// \brief The routes of an emulation. Publishes them in the store, as an
/// operator does, and keeps the history of all versions.
class Routes
{
public:
  static constexpr std::size_t kRouteCount = 6;

  /// \param services names of the services that routes may lead to
  Routes(standin::StoreStandin& store,
         const Addresses& addresses,
         std::vector<std::string> services);

  /// \brief Publishes a new version: route \a index leads to \a service.
  /// \param service the new service; no value removes the route
  void change(std::size_t index, std::optional<std::string> service);

  /// \returns the current service of a route, or no value if the route doesn't
  /// exist.
  const std::optional<std::string>& serviceOf(std::size_t index) const
  {
    return this->versions.back().services[index];
  }
  const std::vector<std::string>& services() const
  {
    return this->serviceNames;
  }
  /// \returns whether requests of a route are idempotent.
  static bool isIdempotent(std::size_t index) { return index % 3 != 2; }

  /// \returns the services of the route in all versions that were current at
  /// \a from or later. An empty string stands for a version without the route.
  std::set<std::string> servicesSince(std::size_t index, MilliTime from) const;

  /// \returns the newest consecutive versions in which the route leads to
  /// \a service, as indexes in the history; nothing if there are none.
  std::optional<VersionRange> versionsOf(std::size_t index,
                                         const std::string& service) const;

  /// \brief Writes the newest configuration again, after the store has lost it.
  void writeNewest();

private:
  struct Version
  {
    std::uint64_t number = 0;
    MilliTime publishedAt;
    std::vector<std::optional<std::string>> services; ///< indexed by route
  };

  standin::StoreStandin& store;
  Addresses addresses;
  std::vector<std::string> serviceNames;
  std::vector<Version> versions;

  void publish(Version version);
};

}

#endif
