#ifndef BUCKTHORNWING_EMULATOR_SHOWN_VERSIONS_H
#define BUCKTHORNWING_EMULATOR_SHOWN_VERSIONS_H

#include <Core>

#include <cstddef>
#include <map>
#include <utility>

namespace buckthornwing::emulator {

/// \brief Versions in a row that all send a route's flows to one service.
struct VersionSpan
{
  std::size_t oldest = 0;
  std::size_t newest = 0;
};

/// \brief A flow that an instance sent on, as proof of its routes' version.
struct ShownFlow
{
  std::size_t instance = 0;
  unsigned start = 0; ///< counts the instance's processes
  std::size_t route = 0;
  VersionSpan versions; ///< that name the service that got the flow
  MilliTime sentAt{};   ///< by the caller
};

/// \brief Finds instances that fall back behind a version of the routes that
/// they have shown.
class ShownVersions
{
public:
  /// \param window how long an instance may still mix versions
  explicit ShownVersions(MilliDuration window)
    : window(window)
  {
  }

  /// \brief Takes a flow that reached a target at \a now.
  /// \returns whether the instance has fallen back
  bool show(const ShownFlow& flow, MilliTime now);

private:
  struct Known
  {
    unsigned start = 0;
    std::size_t version = 0;
    MilliTime at{};
  };

  MilliDuration window;
  std::map<std::pair<std::size_t, std::size_t>, Known> known;
};

}

#endif
