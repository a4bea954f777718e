#ifndef BUCKTHORNWING_COUNTERS_H
#define BUCKTHORNWING_COUNTERS_H

#include "Decision.h"

#include <array>
#include <cstdint>

namespace buckthornwing {

/// \brief Counts of one instance since its start.
struct Counters
{
  std::uint64_t packets = 0; ///< received from the fabric
  std::uint64_t forwarded = 0;
  std::uint64_t relayed = 0;
  std::uint64_t relaysReceived = 0; ///< packets relayed by peers
  std::uint64_t refused = 0;
  std::array<std::uint64_t, kReasonCount> dropped{}; ///< by Reason
  std::uint64_t placed = 0; ///< new flows that got a target
  /// Open flows that were recorded from a packet after their opening.
  std::uint64_t adopted = 0;
  std::uint64_t handedOver = 0; ///< records sent to new owners
  std::uint64_t backedUp = 0;   ///< records sent as backups
  std::uint64_t awayShared = 0; ///< records sent of away flows, or withdrawn
  std::uint64_t hinted = 0;     ///< records sent as hints
  std::uint64_t pauses = 0;
  std::uint64_t ownerChanges = 0;
  std::uint64_t configurationsApplied = 0;
  std::uint64_t configurationsRefused = 0;
};

}

#endif
