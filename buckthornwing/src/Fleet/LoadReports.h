#ifndef BUCKTHORNWING_LOAD_REPORTS_H
#define BUCKTHORNWING_LOAD_REPORTS_H

#include "../Steering/TagBlackboard.h"
#include "FleetMembers.h"

#include <utility>
#include <vector>

namespace buckthornwing {

/// \brief Exchange of the targets' load and health between instances.
class LoadReports
{
public:
  explicit LoadReports(TagBlackboard& board)
    : board(board)
  {
  }

  /// \returns the reports for the next message. Successive messages cover in
  /// turn all targets that have flows of this instance or that it found dead.
  std::vector<TargetReport> nextReports(MilliTime now);

  /// \brief Stores the reports of a member's heartbeat.
  void receive(KnownMember& member, const FleetHeartbeat& body, MilliTime now);

  /// \brief Adds up the members' reports in the peer fields of the targets'
  /// loads.
  void updatePeerLoads(FleetMembers& members, MilliTime now);

  /// \returns the short keys of the targets that peers of this instance's zone
  /// have reported dead since the last call.
  std::vector<ShortTargetKey> takeTargetsFoundDead()
  {
    return std::exchange(this->foundDead, {});
  }

private:
  TagBlackboard& board;
  std::size_t nextTarget = 0; ///< slot at which the next reports begin
  std::vector<ShortTargetKey> foundDead;
  /// Service times in ms that peers reported, indexed by TargetSlot; only used
  /// within updatePeerLoads().
  std::vector<std::vector<double>> serviceTimes;

  void addReports(KnownMember& member, MilliTime now);
  void updatePeerServiceTimes();
};

}

#endif
