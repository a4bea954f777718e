#ifndef BUCKTHORNWING_ADMISSION_POLICY_H
#define BUCKTHORNWING_ADMISSION_POLICY_H

#include "AdmissionRequest.h"
#include "ServiceQueue.h"

namespace buckthornwing {

/// \returns the rounds of queued requests from which on every new flow of this
/// kind is refused.
///
/// Each more urgent priority halves it, so that the queue that less urgent
/// requests make leaves room for the more urgent ones. It is lower still if a
/// request would wait longer than its timeout, or delay more urgent requests by
/// too much of their latency objective.
double
admissionLimit(const AdmissionRequest& request, const ServiceQueue& queue);

/// \returns the probability with which a new flow is refused. It rises from 0
/// at half of admissionLimit() to 1 at the limit: a step would make all
/// instances refuse and admit in turns.
double
refusalProbability(const AdmissionRequest& request, const ServiceQueue& queue);

}

#endif
