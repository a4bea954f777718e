#include "ServiceLimits.h"

namespace buckthornwing {

Reason
checkServiceLimits(Service& service, MilliTime now)
{
  const std::uint32_t most = service.config.maxFlows;
  if (most > 0 && service.ownFlows + service.peerFlows >= most) {
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
