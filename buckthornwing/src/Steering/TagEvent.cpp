#include "TagEvent.h"

namespace buckthornwing {

const char*
tagEventName(TagEventKind kind)
{
  switch (kind) {
    case TagEventKind::targetListed:
      return "target_listed";
    case TagEventKind::targetDraining:
      return "target_draining";
    case TagEventKind::targetLapsed:
      return "target_lapsed";
    case TagEventKind::targetGone:
      return "target_gone";
    case TagEventKind::targetSuspected:
      return "target_suspected";
    case TagEventKind::targetTrusted:
      return "target_trusted";
    case TagEventKind::targetDead:
      return "target_dead";
    case TagEventKind::targetProbed:
      return "target_probed";
    case TagEventKind::routes:
      return "routes";
    case TagEventKind::registryLoaded:
      return "registry_loaded";
    case TagEventKind::memberJoined:
      return "member_joined";
    case TagEventKind::memberLost:
      return "member_lost";
    case TagEventKind::membersChanged:
      return "members_changed";
    case TagEventKind::storeLost:
      return "store_lost";
    case TagEventKind::storeRegained:
      return "store_regained";
    case TagEventKind::storeEra:
      return "store_era";
    case TagEventKind::storeAnswerOutdated:
      return "store_answer_outdated";
    case TagEventKind::viewServed:
      return "view_served";
    case TagEventKind::viewFetched:
      return "view_fetched";
    case TagEventKind::storeRead:
      return "store_read";
    case TagEventKind::paused:
      return "paused";
    case TagEventKind::zoneEvacuated:
      return "zone_evacuated";
    case TagEventKind::zoneReturned:
      return "zone_returned";
    case TagEventKind::entryIgnored:
      return "entry_ignored";
    case TagEventKind::overloadBegan:
      return "overload_began";
    case TagEventKind::overloadEnded:
      return "overload_ended";
    case TagEventKind::targetSpeed:
      return "target_speed";
    case TagEventKind::slowStartBegan:
      return "slow_start_began";
    case TagEventKind::slowStartEnded:
      return "slow_start_ended";
  }
  return "unknown";
}

}
