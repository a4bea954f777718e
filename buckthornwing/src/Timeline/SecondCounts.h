#ifndef BUCKTHORNWING_SECOND_COUNTS_H
#define BUCKTHORNWING_SECOND_COUNTS_H

#include "../Core/MilliTime.h"
#include "Tally.h"

namespace buckthornwing {

/// \brief Counts of what the instances of one availability zone logged in one
/// second, or in several seconds that were added up.
struct SecondCounts
{
  std::uint32_t placedFlows = 0; ///< new flows assigned to a target
  std::uint32_t held = 0;        ///< packets held back
  std::uint32_t membersLost = 0; ///< each instance reports its own losses
  std::uint32_t membersJoined = 0;
  std::uint32_t storeLost = 0;     ///< times that an instance lost the store
  std::uint32_t storeRegained = 0; ///< times that it was reachable again
  std::uint32_t staleViews = 0;    ///< instances with a stale view
  MilliDuration maxViewAge{};      ///< of the stale views
  std::uint32_t targetsSuspected = 0;
  std::uint32_t targetsDead = 0;
  std::uint32_t targetsTrusted = 0;
  std::uint32_t busyLinks = 0; ///< instances with a busy link
  MilliDuration maxBacklog{};  ///< queueing delay of a busy link
  std::uint32_t stalls = 0;    ///< times that a process did not run for a while
  Tally resets;                ///< by reason
  Tally probes;                ///< by result

  /// \brief Adds the counts of \a other and takes the larger of each maximum.
  void add(const SecondCounts& other);
};

}

#endif
