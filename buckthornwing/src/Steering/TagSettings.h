#ifndef BUCKTHORNWING_TAG_SETTINGS_H
#define BUCKTHORNWING_TAG_SETTINGS_H

#include "../Core/IpAddress.h"
#include "../Core/MilliTime.h"
#include "TagPolicySettings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief What an instance before a tagging fabric is told about itself.
struct TagSettings
{
  std::string id;
  std::string zone;
  Endpoint peerAddress;            ///< bound for messages between instances
  Endpoint advertisedAddress;      ///< where peers send them
  std::vector<Endpoint> seeds;     ///< peers to contact first
  bool isFirstStart = false;       ///< the whole fleet's; no callers yet
  double linkMegabits = 0;         ///< a second, of the own link; 0: unknown
  std::uint64_t tagSecret = 0;     ///< equal on all instances
  std::uint64_t seed = 0;          ///< of random choices
  std::uint64_t incarnation = 0;   ///< wall clock of the start, milliseconds
  MilliDuration flowIdle{ 15000 }; ///< an idle flow is forgotten after it
  TagPolicySettings policy;
};

}

#endif
