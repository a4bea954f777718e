#ifndef BUCKTHORNWING_SLOW_START_CONTROLLER_H
#define BUCKTHORNWING_SLOW_START_CONTROLLER_H

#include "TagBlackboard.h"

#include <map>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Keeps the limits of cold targets up to date, and logs when one begins
/// and ends.
class SlowStartController
{
public:
  explicit SlowStartController(TagBlackboard& board)
    : board(board)
  {
  }

  /// \brief Called with each tick, after the active members were published.
  void tick(MilliTime now);

private:
  TagBlackboard& board;
  std::map<TargetKey, std::string> limited; ///< ids of the limited targets
  bool isLimiting = false; ///< a service had a rate at the last tick

  /// \brief Ends all limits, because no service has a rate.
  void endLimits(MilliTime now);
  std::vector<TargetSlot> findLimited(MilliTime now) const;
  /// \returns the requests a second that a target bears while it is cold, the
  /// least one of its services; 0 if none of them limits it.
  double warmupRateOf(const KnownTarget& target) const;
  ColdTarget coldTargetOf(const KnownTarget& target) const;
  void reportChanges(std::span<const TargetSlot> slots, MilliTime now);
};

}

#endif
