#ifndef BUCKTHORNWING_OPENING_PACE_H
#define BUCKTHORNWING_OPENING_PACE_H

#include "TagBoard.h"

namespace buckthornwing {

/// \brief Lets new flows in at the pace at which targets finish requests.
///
/// It answers the first seconds after an outage, when all callers open flows
/// at once. A full target sheds; a dropped opening comes again by itself after
/// 200 and 600 ms, when there may be room. The last copy is never dropped.
struct OpeningPace
{
  /// \param target the best one for the new flow
  bool shouldDrop(const TagBoard& board,
                  TargetSlot target,
                  std::uint32_t openingCopy) const;
};

}

#endif
