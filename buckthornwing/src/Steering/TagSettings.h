#ifndef BUCKTHORNWING_TAG_SETTINGS_H
#define BUCKTHORNWING_TAG_SETTINGS_H

#include "../Core/IpAddress.h"
#include "../Core/MilliTime.h"
#include "TagPolicySettings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Settings of one instance behind a tagging fabric.
struct TagSettings
{
  std::string id;              ///< unique among all instances
  std::string zone;            ///< own availability zone
  Endpoint peerAddress;        ///< bound for messages between instances
  Endpoint advertisedAddress;  ///< to which peers send messages
  std::vector<Endpoint> seeds; ///< peers to contact first
  bool isFirstStart = false;   ///< of the whole fleet; no callers yet
  double linkMegabits = 0;     ///< this instance's link rate in Mbit/s;
                               ///< 0 if unknown
  double cpuShare = 0;         ///< this instance's share of a core; 0 if
                               ///< unknown
  /// Allowed excess over SelectedService::warmupRate, as a factor.
  double warmupOverage = 1;
  /// Requests allowed in any second beyond that.
  double warmupSlack = 0;
  std::uint64_t tagSecret = 0;   ///< key of flow tags, same on all instances
  std::uint64_t seed = 0;        ///< of the random number generator
  std::uint64_t incarnation = 0; ///< start time in ms since the epoch
  /// Time after which the store removes a registration that is not renewed.
  MilliDuration registrationLifetime{ 6000 };
  MilliDuration flowIdle{ 15000 }; ///< an idle flow is removed after this time
  TagPolicySettings policy;
};

}

#endif
