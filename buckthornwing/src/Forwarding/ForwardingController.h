#ifndef BUCKTHORNWING_FORWARDING_CONTROLLER_H
#define BUCKTHORNWING_FORWARDING_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "../Core/Packet.h"
#include "../Handover/FlowCare.h"
#include "../Placement/PlacementController.h"

#include <span>

namespace buckthornwing {

/// \brief Decides what happens to each packet.
///
/// A flow that is known goes to its target. An opening goes to the flow's
/// owner, which places it. Another packet of an unknown flow follows the
/// table if its bucket is settled and this instance trusts its view; if not,
/// it asks the owners in turn. What stays in doubt is dropped.
class ForwardingController
{
public:
  ForwardingController(Blackboard& board,
                       PlacementController& placement,
                       FlowCare& care);

  /// \param tried the instances that relayed the packet, none if it came
  /// from the fabric
  /// \param from the instance that relayed it last, or kNoMember
  Decision decide(PacketBytes packet,
                  std::span<const MemberTag> tried,
                  MemberIndex from,
                  MilliTime now);

private:
  /// \brief A packet on its way through the decision.
  struct Request
  {
    ParsedPacket packet;
    FlowId flow;
    ServiceIndex service = kNoServiceIndex;
    BucketIndex bucket = 0;
    SlotIndex slot = 0;
    std::span<const MemberTag> tried;
    MemberIndex from = kNoMember;
    MilliTime now{};

    bool relayed() const { return !this->tried.empty(); }
    bool opening() const { return this->packet.kind == PacketKind::opening; }
  };

  Blackboard& board;
  PlacementController& placement;
  FlowCare& care;

  Decision route(const Request& request);
  Decision routeKnown(const Request& request, FlowEntry& entry);
  Decision routeUnknown(const Request& request);
  Decision routeUnknownAsOwner(const Request& request);
  Decision routeOpening(const Request& request, const FlowEntry* earlier);
  Decision place(const Request& request, const FlowEntry* earlier);
  Decision askOwners(const Request& request);
  Decision adopt(const Request& request, TargetIndex target);
  Decision forward(const Request& request, TargetIndex target);
  Decision drop(const Request& request, Reason reason);
  Decision refuse(const Request& request, Reason reason);
  MemberIndex nextToAsk(const Request& request) const;
  bool entryCounts(const Request& request, const FlowEntry& entry) const;
  void count(const Decision& decision, ServiceIndex service);
  void logPlacement(const Request& request, const Placement& placement);
};

}

#endif
