#include "ServiceLimits.h"

namespace buckthornwing {

Reason
checkServiceLimits(Service& service, MilliTime now)
{
  const std::uint32_t limit = service.config.maxFlows;
  if (limit > 0 && service.ownFlows + service.peerFlows >= limit) {
    return Reason::flowLimited;
  }
  if (!service.newFlows.take(1, now)) {
    return Reason::rateLimited;
  }
  return Reason::none;
}

bool
takeRelay(Service& service, MilliTime now)
{
  return service.relays.take(1, now);
}

}
