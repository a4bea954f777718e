#ifndef BUCKTHORNWING_COUNTERS_H
#define BUCKTHORNWING_COUNTERS_H

#include "Decision.h"

#include <array>
#include <cstdint>

namespace buckthornwing {

/// \brief Counts of one instance since its start.
struct Counters
{
  std::uint64_t packets = 0; ///< from the fabric
  std::uint64_t forwarded = 0;
  std::uint64_t relayed = 0;
  std::uint64_t relaysReceived = 0;
  std::uint64_t refused = 0;
  std::array<std::uint64_t, kReasonCount> dropped{};
  std::uint64_t placed = 0;
  std::uint64_t adopted = 0; ///< flows learned from a packet in mid-flow
  std::uint64_t handedOver = 0;
  std::uint64_t backedUp = 0;
  std::uint64_t awayShared = 0;
  std::uint64_t hinted = 0;
  std::uint64_t pauses = 0;
  std::uint64_t ownerChanges = 0;
  std::uint64_t configurationsApplied = 0;
  std::uint64_t configurationsRefused = 0;
};

}

#endif
