#ifndef BUCKTHORNWING_FLOW_MAINTENANCE_H
#define BUCKTHORNWING_FLOW_MAINTENANCE_H

#include "../Board/Blackboard.h"
#include "RecordSender.h"

namespace buckthornwing {

/// \brief Scans the flow table once a second: counts open flows, sends backups
/// of flows that may be away from their table target, and erases expired
/// entries.
class FlowMaintenance
{
public:
  FlowMaintenance(Blackboard& board, RecordSender& sender);

  /// \brief Scans the flow table when it is due.
  void tick(MilliTime now);

  /// \brief Counts a packet of an owned flow that a peer relayed, and sends the
  /// peer a hint after several.
  void noteRelayed(FlowId flow, FlowEntry& entry, MemberIndex relayer);

  /// \brief Updates the time of the flow's last packet. Backups are unchanged.
  void noteSeen(FlowEntry& entry, MilliTime now) const;

  /// \brief Decides whether a packet is relayed to the owner to show that the
  /// flow is still open, for a flow that is known from the owner's record.
  /// \returns true once in each period.
  bool shouldRefreshOwner(FlowEntry& entry, MilliTime now) const;

  /// \brief Processes a new entry of a flow that this instance owns: queues its
  /// record for the new primary owner if the slot is being handed over.
  void noteOwned(FlowId flow, ServiceIndex service);

  /// \brief Marks a flow as closed, and withdraws its records from peers.
  void noteClosed(FlowId flow, FlowEntry& entry, MilliTime now);

private:
  Blackboard& board;
  RecordSender& sender;
  MilliTime nextScanAt{};
  std::uint32_t lastScanSecond = 0; ///< time of the last scan

  bool expired(const FlowEntry& entry, std::uint32_t second) const;
  void count(const FlowEntry& entry, const Slot& slot);
  MemberIndex backupHolder(const FlowEntry& entry, const Slot& slot) const;
  void backUp(FlowId flow,
              FlowEntry& entry,
              const Slot& slot,
              std::uint32_t second);
  bool backupIsDue(const FlowEntry& entry, std::uint32_t second) const;
  void updateHasAllFlows(MilliTime now);
};

}

#endif
