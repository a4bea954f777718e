#ifndef BUCKTHORNWING_PUBLISHED_ROUTES_H
#define BUCKTHORNWING_PUBLISHED_ROUTES_H

#include "Route.h"
#include "StorePosition.h"

#include <optional>
#include <vector>

namespace buckthornwing {

/// \brief The configurations of one response of the store, and the position
/// that holds once all of them have been applied.
///
/// They are one value, so that nothing can pass on the position beside the
/// routes of an earlier configuration of the response.
struct PublishedRoutes
{
  std::vector<RouteTable> tables; ///< oldest first; none: nothing has changed
  /// Nothing if the response contains a configuration that could not be
  /// decoded.
  std::optional<StorePosition> asOf;
};

}

#endif
