#ifndef BUCKTHORNWING_ADMISSION_REQUEST_H
#define BUCKTHORNWING_ADMISSION_REQUEST_H

#include "../Core/MilliTime.h"

#include <cstddef>
#include <optional>

namespace buckthornwing {

/// \brief What decides about a new flow, apart from the service's queue.
struct AdmissionRequest
{
  /// Time that the route allows for a request; nothing if it is not limited.
  std::optional<MilliDuration> timeout;
  /// Number of more urgent priorities that callers ask the service for.
  std::size_t moreUrgent = 0;
  /// Least latency objective of the service's more urgent routes; nothing if
  /// there is none.
  std::optional<MilliDuration> urgentObjective;
};

}

#endif
