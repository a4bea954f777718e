#ifndef BUCKTHORNWING_EMULATOR_OBSERVED_VERSIONS_H
#define BUCKTHORNWING_EMULATOR_OBSERVED_VERSIONS_H

#include <Core>

#include <cstddef>
#include <map>
#include <utility>

namespace buckthornwing::emulator {

/// \brief Versions in a row that all send a route's flows to one service.
struct VersionRange
{
  std::size_t oldest = 0;
  std::size_t newest = 0;
};

/// \brief A flow that an instance sent on, as proof of its routes' version.
struct ObservedFlow
{
  std::size_t instance = 0;
  unsigned processNumber = 0; ///< counts the instance's processes
  std::size_t route = 0;
  VersionRange versions; ///< that name the service that got the flow
  MilliTime sentAt{};    ///< by the caller
};

/// \brief Finds instances that fall back behind a version of the routes that
/// they have shown.
class ObservedVersions
{
public:
  /// \param window how long an instance may still mix versions
  explicit ObservedVersions(MilliDuration window)
    : window(window)
  {
  }

  /// \brief Takes a flow that reached a target at \a now.
  /// \returns whether the instance has fallen back
  bool observe(const ObservedFlow& flow, MilliTime now);

private:
  struct Observation
  {
    unsigned processNumber = 0;
    std::size_t version = 0;
    MilliTime observedAt{};
  };

  MilliDuration window;
  std::map<std::pair<std::size_t, std::size_t>, Observation> observations;
};

}

#endif
