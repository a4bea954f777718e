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

  /// \brief Notes that the caller closed a flow.
  void noteClosed(FlowId flow, FlowEntry& entry, MilliTime now);

private:
  Blackboard& board;
  RecordSender& sender;
  MilliTime nextWalkAt{};

  bool expired(const FlowEntry& entry, std::uint32_t second) const;
  void count(const FlowEntry& entry, const Slot& slot);
  void backUp(FlowId flow,
              FlowEntry& entry,
              const Slot& slot,
              std::uint32_t second);
  void checkKnowledge(MilliTime now);
};

}

#endif
