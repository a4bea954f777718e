#ifndef BUCKTHORNWING_APERTURE_TARGET_H
#define BUCKTHORNWING_APERTURE_TARGET_H

#include "TagBlackboard.h"

#include <cstdint>

namespace buckthornwing {

/// \brief Target of a zone, as the aperture sees it; see layAperture().
struct ApertureTarget
{
  TargetSlot slot = kNoTargetSlot;
  std::uint64_t key = 0;  ///< position among the targets; the same everywhere
  double capacity = 0;    ///< request slots, weighted by its speed
  bool isEligible = true; ///< whether it may be chosen
  double share = 0;       ///< part of it that lies in the aperture, 0 to 1
};

}

#endif
