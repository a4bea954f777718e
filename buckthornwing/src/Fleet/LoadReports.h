#ifndef BUCKTHORNWING_LOAD_REPORTS_H
#define BUCKTHORNWING_LOAD_REPORTS_H

#include "../Steering/TagBoard.h"
#include "FleetMembers.h"

#include <utility>
#include <vector>

namespace buckthornwing {

/// \brief What instances tell each other of the targets' load and health.
class LoadReports
{
public:
  explicit LoadReports(TagBoard& board)
    : board(board)
  {
  }

  /// \returns the next reports to send; over some messages, of all targets
  /// that this instance has flows at or found dead.
  std::vector<TargetReport> next(MilliTime now);

  /// \brief Keeps the reports of a heartbeat.
  void take(KnownMember& member, const FleetHeartbeat& body, MilliTime now);

  /// \brief Sums the members' reports into the board's loads.
  void sum(FleetMembers& members, MilliTime now);

  /// \returns numbers of targets that peers in the zone found dead since the
  /// last call.
  std::vector<std::uint64_t> takeFoundDead()
  {
    return std::exchange(this->foundDead, {});
  }

private:
  TagBoard& board;
  std::size_t nextTarget = 0; ///< where the next reports begin
  std::vector<std::uint64_t> foundDead;

  void add(KnownMember& member, MilliTime now);
};

}

#endif
