#ifndef BUCKTHORNWING_SERVICE_LIMITS_H
#define BUCKTHORNWING_SERVICE_LIMITS_H

#include "../Board/Decision.h"
#include "../Board/Service.h"

namespace buckthornwing {

/// \brief Checks a new flow against its service's limits on open flows and on
/// new flows per second. A flow within both is counted against the rate.
/// \returns Reason::none, or the reason for the limit that is reached.
Reason
checkServiceLimits(Service& service, MilliTime now);

/// \brief Counts one opening of the service that is to be relayed.
/// \returns whether the service is within its rate of relayed openings.
bool
takeRelay(Service& service, MilliTime now);

}

#endif
