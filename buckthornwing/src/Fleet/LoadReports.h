#ifndef BUCKTHORNWING_LOAD_REPORTS_H
#define BUCKTHORNWING_LOAD_REPORTS_H

#include "../Steering/TagBlackboard.h"
#include "FleetMembers.h"
#include "ZoneSums.h"

#include <string_view>
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

  /// \returns the reports for the next message to a member of another zone,
  /// with the sums of the loads that this zone's instances cause. Successive
  /// messages cover in turn the targets of both zones; if there is room left,
  /// those of nextReports() too.
  std::vector<TargetReport> nextZoneReports(std::string_view receiverZone,
                                            MilliTime now);

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
  /// Like \a nextTarget, for reports of zones' sums.
  std::size_t nextSummedTarget = 0;
  std::vector<ShortTargetKey> foundDead;
  /// Service times in ms that peers reported, indexed by TargetSlot; only used
  /// within updatePeerLoads().
  std::vector<std::vector<double>> serviceTimes;
  ZoneSums sums; ///< of other zones
  /// Loads that all instances of this zone cause, indexed by TargetSlot.
  std::vector<ZoneSum> ownZone;

  bool hasOwnLoad(TargetSlot slot) const;
  TargetReport reportOf(TargetSlot slot, MilliTime now) const;
  TargetReport summedReportOf(TargetSlot slot, MilliTime now) const;
  /// \brief Appends reports of the targets that a filter accepts until the
  /// message is full.
  /// \param next slot to begin with; set to the first one that had no room
  template<typename Filter, typename Report>
  void append(std::vector<TargetReport>& reports,
              std::size_t& next,
              Filter filter,
              Report report) const;
  void resetPeerLoads();
  /// \brief Adds a member's reports, after removing the old ones.
  void addReports(KnownMember& member, MilliTime now);
  /// \brief Adds the load in a report, unless the sum of its zone contains it.
  void addLoad(const KnownMember& member, const TargetReport& report);
  void addZoneSums();
  void updatePeerServiceTimes();
};

}

#endif
