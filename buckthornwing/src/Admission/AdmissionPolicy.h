#ifndef BUCKTHORNWING_ADMISSION_POLICY_H
#define BUCKTHORNWING_ADMISSION_POLICY_H

#include "../Core/MilliTime.h"
#include "ServiceQueue.h"

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

/// \returns the rounds of queued requests from which on every new flow of this
/// kind is refused.
///
/// Each more urgent priority lowers it to a quarter, so that the queue that
/// less urgent requests make leaves room for the more urgent ones.
double
admissionLimit(const AdmissionRequest& request, const ServiceQueue& queue);

/// \returns the probability with which a new flow is refused. It rises from 0
/// at half of admissionLimit() to 1 at the limit: a step would make all
/// instances refuse and admit in turns.
double
refusalProbability(const AdmissionRequest& request, const ServiceQueue& queue);

}

#endif
