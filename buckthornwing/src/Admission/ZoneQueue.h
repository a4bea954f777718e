#ifndef BUCKTHORNWING_ZONE_QUEUE_H
#define BUCKTHORNWING_ZONE_QUEUE_H

#include <algorithm>
#include <optional>

namespace buckthornwing {

/// \brief Load of the targets of a service in one zone.
struct ZoneQueue
{
  double slots = 0; ///< requests that the targets run at once
  double busy = 0;  ///< requests in progress or queued

  /// \returns the number of requests that each slot must finish before a new
  /// one starts; 0 while slots are free, nothing without targets.
  std::optional<double> rounds() const
  {
    if (this->slots <= 0) {
      return std::nullopt;
    }
    return std::max(0.0, this->busy - this->slots) / this->slots;
  }
};

}

#endif
