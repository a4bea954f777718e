#ifndef BUCKTHORNWING_FORWARDING_CONTROLLER_H
#define BUCKTHORNWING_FORWARDING_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "../Core/Packet.h"
#include "../Handover/FlowMaintenance.h"
#include "../Placement/PlacementController.h"

#include <span>

namespace buckthornwing {

/// \brief Decides what happens to each packet.
///
/// A packet of a known flow is forwarded to the flow's target. An opening is
/// relayed to the flow's owner, which places it. Any other packet of an unknown
/// flow is forwarded by the table if its bucket is settled and this instance
/// trusts its view; otherwise it is relayed to the owners one after the other.
/// Closing packets and a random sample of the others are relayed to a live
/// owner even if the table applies, so that it learns whether the flow is still
/// open. A packet whose target stays uncertain is dropped.
class ForwardingController
{
public:
  ForwardingController(Blackboard& board,
                       PlacementController& placement,
                       FlowMaintenance& maintenance);

  /// \brief Decides the outcome of one packet and counts it.
  /// \param tried the instances that relayed the packet; empty if it came from
  /// the fabric
  /// \param from the instance that relayed it last, or kNoMember
  Decision decide(PacketBytes packet,
                  std::span<const MemberTag> tried,
                  MemberIndex from,
                  MilliTime now);

private:
  /// \brief A packet and what has been found out about it so far.
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
  FlowMaintenance& maintenance;

  Decision route(const Request& request);
  Decision routeKnown(const Request& request, FlowEntry& entry);
  Decision routeUnknown(const Request& request);
  Decision routeUnknownAsOwner(const Request& request);
  Decision routeOpening(const Request& request, const FlowEntry* earlier);
  Decision place(const Request& request, const FlowEntry* earlier);
  Decision relayToNextOwner(const Request& request);
  Decision adopt(const Request& request, TargetIndex target);
  Decision forward(const Request& request, TargetIndex target);
  Decision drop(const Request& request, Reason reason);
  Decision refuse(const Request& request, Reason reason);
  MemberIndex nextOwner(const Request& request) const;
  bool mayUseEntry(const Request& request, const FlowEntry& entry) const;
  void count(const Decision& decision, ServiceIndex service);
  void logPlacement(const Request& request, const Placement& placement);
};

}

#endif
