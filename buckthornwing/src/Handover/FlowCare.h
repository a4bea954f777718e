#ifndef BUCKTHORNWING_FLOW_CARE_H
#define BUCKTHORNWING_FLOW_CARE_H

#include "../Board/Blackboard.h"
#include "RecordSender.h"

namespace buckthornwing {

/// \brief Walks the flow table once a second: counts open flows, backs up
/// those that the table does not give, and forgets those that ended.
class FlowCare
{
public:
  FlowCare(Blackboard& board, RecordSender& sender);

  void tick(MilliTime now);

  /// \brief Notes that a packet of an owned flow came by way of a peer; sends
  /// the peer a hint when many did.
  void noteRelayed(FlowId flow, FlowEntry& entry, MemberIndex relayer);

  /// \brief Notes that a packet of the flow passed.
  void noteSeen(FlowEntry& entry, MilliTime now) const;

  /// \returns whether a flow that this instance was told of should show its
  /// owner again that it is alive; true once for each period.
  bool ownerShouldHear(FlowEntry& entry, MilliTime now) const;

  /// \brief Notes a new entry of a flow that this instance owns; one of a slot
  /// that is being handed over follows at once.
  void noteOwned(FlowId flow, ServiceIndex service);

  /// \brief Notes that the caller closed a flow.
  void noteClosed(FlowId flow, FlowEntry& entry, MilliTime now);

private:
  Blackboard& board;
  RecordSender& sender;
  MilliTime nextWalkAt{};
  std::uint32_t walkedSecond = 0; ///< of the last walk

  bool expired(const FlowEntry& entry, std::uint32_t second) const;
  void count(const FlowEntry& entry, const Slot& slot);
  MemberIndex backupHolder(const FlowEntry& entry, const Slot& slot) const;
  void backUp(FlowId flow,
              FlowEntry& entry,
              const Slot& slot,
              std::uint32_t second);
  bool backupIsDue(const FlowEntry& entry, std::uint32_t second) const;
  void checkKnowledge(MilliTime now);
};

}

#endif
