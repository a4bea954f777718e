#ifndef BUCKTHORNWING_EMULATOR_OBSERVED_VERSIONS_H
#define BUCKTHORNWING_EMULATOR_OBSERVED_VERSIONS_H

#include <Core>

#include <cstddef>
#include <map>
#include <utility>

namespace buckthornwing::emulator {

/// \brief Consecutive versions of the routes, as indexes in their history.
struct VersionRange
{
  std::size_t oldest = 0;
  std::size_t newest = 0;
};

/// \brief A new flow that an instance forwarded. Its service shows which
/// versions of the routes the instance may have used.
struct ObservedFlow
{
  std::size_t instance = 0;
  unsigned processNumber = 0; ///< number of starts of the instance
  std::size_t route = 0;
  VersionRange versions; ///< in which the route leads to the flow's service
  MilliTime sentAt{};    ///< time at which the caller sent the packet
};

/// \brief Detects instances that use an older version of the routes than one
/// that they have used before.
class ObservedVersions
{
public:
  /// \param window time after the first use of a version in which an instance
  /// may still use older ones
  explicit ObservedVersions(MilliDuration window)
    : window(window)
  {
  }

  /// \brief Records a flow that reached a target at \a now.
  /// \returns whether the flow shows that the instance has returned to an older
  /// version
  bool observe(const ObservedFlow& flow, MilliTime now);

private:
  /// \brief The newest version that a process is known to have used.
  struct Observation
  {
    unsigned processNumber = 0;
    std::size_t version = 0;
    MilliTime observedAt{};
  };

  MilliDuration window;
  /// Indexed by instance and route.
  std::map<std::pair<std::size_t, std::size_t>, Observation> observations;
};

}

#endif
