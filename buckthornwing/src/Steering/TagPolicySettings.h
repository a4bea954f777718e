#ifndef BUCKTHORNWING_TAG_POLICY_SETTINGS_H
#define BUCKTHORNWING_TAG_POLICY_SETTINGS_H

#include <algorithm>
#include <array>
#include <string_view>

namespace buckthornwing {

/// \brief Switches for parts of the policy. An experiment turns a part off to
/// measure its effect; in production all parts are on.
struct TagPolicySettings
{
  bool byLoad = true;         ///< places flows by load, otherwise by hash
  bool weighsQueues = true;   ///< counts queued requests in a target's load
  bool prefersOwnZone = true; ///< places new flows in this instance's zone
  bool sharesZones = true;    ///< uses other zones while requests queue in it
  bool weighsSpeeds = true;   ///< places fewer flows on slower targets
  bool usesZoneRoom = true;   ///< uses other zones by the load of whole zones
  bool usesAperture = true;   ///< prefers a part of the zone's targets
  bool sumsZones = true;      ///< reports the whole zone's load to other zones
  bool admitsByPriority = true; ///< refuses less urgent flows during overload
  bool usesPeerLoads = true;    ///< counts the load that peers report
  bool findsSilent = true;      ///< suspects targets that do not answer
  bool probes = true;           ///< probes suspected targets
  bool resetsDeadFlows = true;  ///< resets flows of dead targets at once
  bool holdsPackets = true;     ///< holds packets that can't be decided yet
  bool keepsLapsed = true;    ///< keeps entries that vanish in a store failure
  bool takesPeerViews = true; ///< fetches the first view from a peer
  /// Delays the first store read of a starting instance by initialReadDelay(),
  /// so that peers' views come first.
  bool asksPeersFirst = true;
  bool hasStandBy = true;     ///< a second instance may read the store
  bool batchesChanges = true; ///< reads successive changes in one store call
  bool sendsChangesToZones = true; ///< sends changes to the other zones
};

/// \brief Name of a part of the policy in the settings.
struct TagPolicyName
{
  std::string_view name;
  bool TagPolicySettings::*part;
};

inline constexpr std::array kTagPolicyNames{
  TagPolicyName{ "load_placement", &TagPolicySettings::byLoad },
  TagPolicyName{ "queue_weight", &TagPolicySettings::weighsQueues },
  TagPolicyName{ "target_speeds", &TagPolicySettings::weighsSpeeds },
  TagPolicyName{ "zone_preference", &TagPolicySettings::prefersOwnZone },
  TagPolicyName{ "zone_sharing", &TagPolicySettings::sharesZones },
  TagPolicyName{ "zone_room", &TagPolicySettings::usesZoneRoom },
  TagPolicyName{ "aperture", &TagPolicySettings::usesAperture },
  TagPolicyName{ "zone_sums", &TagPolicySettings::sumsZones },
  TagPolicyName{ "admission", &TagPolicySettings::admitsByPriority },
  TagPolicyName{ "peer_loads", &TagPolicySettings::usesPeerLoads },
  TagPolicyName{ "suspicion", &TagPolicySettings::findsSilent },
  TagPolicyName{ "probes", &TagPolicySettings::probes },
  TagPolicyName{ "rescue", &TagPolicySettings::resetsDeadFlows },
  TagPolicyName{ "held_packets", &TagPolicySettings::holdsPackets },
  TagPolicyName{ "lapse_hold", &TagPolicySettings::keepsLapsed },
  TagPolicyName{ "peer_views", &TagPolicySettings::takesPeerViews },
  TagPolicyName{ "read_spread", &TagPolicySettings::asksPeersFirst },
  TagPolicyName{ "stand_by", &TagPolicySettings::hasStandBy },
  TagPolicyName{ "gathering", &TagPolicySettings::batchesChanges },
  TagPolicyName{ "zone_news", &TagPolicySettings::sendsChangesToZones },
};

/// \brief Turns off the part of the policy with the given name.
/// \returns whether there is such a part
inline bool
disablePolicyPart(TagPolicySettings& policy, std::string_view name)
{
  const auto* const found =
    std::find_if(kTagPolicyNames.begin(),
                 kTagPolicyNames.end(),
                 [name](const auto& each) { return each.name == name; });
  if (found == kTagPolicyNames.end()) {
    return false;
  }
  policy.*(found->part) = false;
  return true;
}

}

#endif
