#ifndef BUCKTHORNWING_SECOND_COUNTS_H
#define BUCKTHORNWING_SECOND_COUNTS_H

#include "../Core/MilliTime.h"
#include "Tally.h"

namespace buckthornwing {

/// \brief What the instances of one zone logged in one second.
struct SecondCounts
{
  std::uint32_t openings = 0;
  std::uint32_t held = 0;
  std::uint32_t membersLost = 0; ///< once for each instance that lost one
  std::uint32_t membersBack = 0;
  std::uint32_t storeLost = 0;
  std::uint32_t storeBack = 0;
  std::uint32_t viewsBehind = 0; ///< instances with an old view
  MilliDuration mostViewAge{};   ///< of the views behind
  std::uint32_t targetsSuspected = 0;
  std::uint32_t targetsDead = 0;
  std::uint32_t targetsTrusted = 0;
  std::uint32_t busyLinks = 0; ///< instances
  MilliDuration mostBacklog{};
  std::uint32_t stalls = 0; ///< times that a process did not run
  Tally resets;             ///< by reason
  Tally probes;             ///< by result

  void add(const SecondCounts& other);
};

}

#endif
