#ifndef BUCKTHORNWING_TARGET_SPEED_CONTROLLER_H
#define BUCKTHORNWING_TARGET_SPEED_CONTROLLER_H

#include "TagBlackboard.h"

#include <vector>

namespace buckthornwing {

/// \brief Compares the targets of each service by their service times, as
/// estimated by this instance and its peers, and sets
/// TargetLoad::relativeServiceTime.
class TargetSpeedController
{
public:
  explicit TargetSpeedController(TagBlackboard& board)
    : board(board)
  {
  }

  /// \brief Updates all targets that take new flows; called after the peers'
  /// reports were added up.
  void update(MilliTime now);

private:
  TagBlackboard& board;
  std::vector<bool> updated; ///< indexed by TargetSlot

  void updateService(std::span<const TargetSlot> targets, MilliTime now);
  void updateTarget(TargetSlot slot,
                    const ServiceTimeEstimate& estimate,
                    std::optional<double> medianMs,
                    MilliTime now);
  void reportClass(TargetSlot slot,
                   const ServiceTimeEstimate& estimate,
                   std::optional<double> medianMs);
};

}

#endif
