#ifndef BUCKTHORNWING_SERVICE_QUEUE_H
#define BUCKTHORNWING_SERVICE_QUEUE_H

#include <optional>

namespace buckthornwing {

/// \brief Queue that a new request of a service would meet, in the zone where
/// it would wait least.
struct ServiceQueue
{
  /// Requests that each slot must finish before the new one starts; see
  /// ZoneQueue::rounds().
  double rounds = 0;
  /// Time in ms that a request occupies a slot; nothing if it is not known.
  std::optional<double> roundMs;
};

}

#endif
