#ifndef BUCKTHORNWING_TAG_POLICY_SETTINGS_H
#define BUCKTHORNWING_TAG_POLICY_SETTINGS_H

#include <algorithm>
#include <array>
#include <string_view>

namespace buckthornwing {

/// \brief Parts of the decisions that an experiment can leave out, to measure
/// what each is worth. In service all of them are on.
struct TagPolicySettings
{
  bool byLoad = true;         ///< placement by load; otherwise by hash alone
  bool weighsQueues = true;   ///< requests that must queue count in the load
  bool prefersOwnZone = true; ///< new flows stay in the zone
  bool sharesZones = true;    ///< but leave one whose targets queue
  bool usesPeerLoads = true;  ///< what peers report counts in the load
  bool findsSilent = true;    ///< silent targets are suspected and probed
  bool probes = true;         ///< without, a suspicion is all there is
  bool rescues = true;        ///< flows of dead targets are reset at once
  bool holdsPackets = true;   ///< while a view is loading
  bool keepsLapsed = true;    ///< entries that vanish while the store is unwell
  bool takesPeerViews = true; ///< a first view comes from a peer if one has it
  bool spreadsReads = true;   ///< of starting instances with slow links
  bool hasStandBy = true;     ///< a second reader of the store
  bool gathersChanges = true; ///< changes in a row share one call of the store
  bool tellsZones = true;     ///< the reader tells the other zones of news
};

/// \brief A part of the decisions by the name that settings use.
struct TagPolicyName
{
  std::string_view name;
  bool TagPolicySettings::*part;
};

inline constexpr std::array kTagPolicyNames{
  TagPolicyName{ "load_placement", &TagPolicySettings::byLoad },
  TagPolicyName{ "queue_weight", &TagPolicySettings::weighsQueues },
  TagPolicyName{ "zone_preference", &TagPolicySettings::prefersOwnZone },
  TagPolicyName{ "zone_sharing", &TagPolicySettings::sharesZones },
  TagPolicyName{ "peer_loads", &TagPolicySettings::usesPeerLoads },
  TagPolicyName{ "suspicion", &TagPolicySettings::findsSilent },
  TagPolicyName{ "probes", &TagPolicySettings::probes },
  TagPolicyName{ "rescue", &TagPolicySettings::rescues },
  TagPolicyName{ "held_packets", &TagPolicySettings::holdsPackets },
  TagPolicyName{ "lapse_hold", &TagPolicySettings::keepsLapsed },
  TagPolicyName{ "peer_views", &TagPolicySettings::takesPeerViews },
  TagPolicyName{ "read_spread", &TagPolicySettings::spreadsReads },
  TagPolicyName{ "stand_by", &TagPolicySettings::hasStandBy },
  TagPolicyName{ "gathering", &TagPolicySettings::gathersChanges },
  TagPolicyName{ "zone_news", &TagPolicySettings::tellsZones },
};

/// \brief Leaves out the part that a name stands for.
/// \returns whether there is such a part
inline bool
leaveOut(TagPolicySettings& policy, std::string_view name)
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
