#ifndef BUCKTHORNWING_TARGET_LOAD_H
#define BUCKTHORNWING_TARGET_LOAD_H

#include "../Core/MilliTime.h"

#include <cstdint>

namespace buckthornwing {

/// \brief What an instance knows of one target's load and health.
struct TargetLoad
{
  std::int32_t flows = 0;       ///< open flows whose packets pass here
  std::int32_t busy = 0;        ///< requests in progress on them
  double serviceMs = 0;         ///< moving mean time to the first answer
  MilliTime progressAt{};       ///< last sign that the target answers
  std::int32_t silentFlows = 0; ///< flows with repeats and no progress
  double peerFlows = 0;         ///< sum of what other instances reported
  double peerBusy = 0;
  std::int32_t flowsAtReport = 0; ///< of this instance, when that was summed
  std::int32_t busyAtReport = 0;
  MilliTime peerProgressAt{};
};

}

#endif
