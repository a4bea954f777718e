#ifndef BUCKTHORNWING_SERVICE_LIMITS_H
#define BUCKTHORNWING_SERVICE_LIMITS_H

#include "../Board/Decision.h"
#include "../Board/Service.h"

namespace buckthornwing {

/// \brief Checks a new flow against its service's limits and counts it.
/// \returns none, or the limit that is reached
Reason
checkServiceLimits(Service& service, MilliTime now);

/// \returns whether the service may relay one more opening now.
bool
takeRelay(Service& service, MilliTime now);

}

#endif
