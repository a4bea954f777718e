#include "ForwardingController.h"

#include <algorithm>
#include <array>

namespace buckthornwing {
namespace internal {

/// \brief Maximum number of instances that a packet passes: the receiver, the
/// primary owner, its predecessor, the second and the third owner.
constexpr std::size_t kMaxHops = 5;
/// \brief One in this many packets of a flow that follows the table is relayed
/// to the flow's owner, so that the owner learns that the flow is still open.
/// Closing packets are all relayed to it while it is alive.
constexpr std::uint64_t kOwnerSampleInterval = 128;

Reason
reasonFor(ParseFault fault)
{
  switch (fault) {
    case ParseFault::none:
      return Reason::none;
    case ParseFault::truncated:
      return Reason::truncated;
    case ParseFault::badVersion:
      return Reason::badVersion;
    case ParseFault::badHeader:
      return Reason::badHeader;
    case ParseFault::badChecksum:
      return Reason::badChecksum;
    case ParseFault::fragment:
      return Reason::fragment;
    case ParseFault::unsupportedProtocol:
      return Reason::unsupportedProtocol;
  }
  return Reason::badHeader;
}

std::uint32_t
toSecond(MilliTime now)
{
  return static_cast<std::uint32_t>(now.ms / 1000);
}

}

ForwardingController::ForwardingController(Blackboard& board,
                                           PlacementController& placement,
                                           FlowMaintenance& maintenance)
  : board(board)
  , placement(placement)
  , maintenance(maintenance)
{
}

Decision
ForwardingController::decide(PacketBytes bytes,
                             std::span<const MemberTag> tried,
                             MemberIndex from,
                             MilliTime now)
{
  Request request;
  request.packet = parsePacket(bytes);
  request.tried = tried;
  request.from = from;
  request.now = now;
  ++(tried.empty() ? this->board.counters.packets
                   : this->board.counters.relaysReceived);
  Decision decision;
  if (request.packet.fault != ParseFault::none) {
    decision = this->drop(request, internal::reasonFor(request.packet.fault));
    this->count(decision, kNoServiceIndex);
    return decision;
  }
  const FlowKey& key = request.packet.key;
  const auto found =
    this->board.endpoints.find({ key.destination, key.protocol });
  if (found == this->board.endpoints.end()) {
    decision = this->drop(request, Reason::unknownDestination);
    this->count(decision, kNoServiceIndex);
    return decision;
  }
  request.service = found->second;
  request.flow = flowIdOf(key, this->board.view.hashSeed);
  const Service& service = this->board.services[request.service];
  request.bucket = bucketOf(request.flow, service.bucketCount());
  request.slot = slotOf(request.bucket);
  decision = this->route(request);
  this->count(decision, request.service);
  return decision;
}

void
ForwardingController::count(const Decision& decision, ServiceIndex service)
{
  Counters& counters = this->board.counters;
  ServiceCounters ignored;
  ServiceCounters& own = service == kNoServiceIndex
                           ? ignored
                           : this->board.services[service].counters;
  switch (decision.outcome) {
    case Outcome::forward:
      ++counters.forwarded;
      ++own.forwarded;
      break;
    case Outcome::relay:
      ++counters.relayed;
      ++own.relayed;
      break;
    case Outcome::refuse:
      ++counters.refused;
      ++own.refused;
      break;
    case Outcome::drop:
      ++counters.dropped[static_cast<std::size_t>(decision.reason)];
      ++own.dropped;
      break;
  }
}

Decision
ForwardingController::route(const Request& request)
{
  const auto found = this->board.flows.find(request.flow);
  if (found == this->board.flows.end()) {
    return request.opening() ? this->routeOpening(request, nullptr)
                             : this->routeUnknown(request);
  }
  FlowEntry& entry = found->second;
  if (request.opening()) {
    return this->routeOpening(request, &entry);
  }
  if (!this->mayUseEntry(request, entry)) {
    return this->routeUnknown(request);
  }
  return this->routeKnown(request, entry);
}

/// \returns whether a packet may be forwarded by an entry. A backup may belong
/// to an earlier flow of the same key, so a packet from the fabric is relayed
/// to the owner instead.
bool
ForwardingController::mayUseEntry(const Request& request,
                                  const FlowEntry& entry) const
{
  constexpr std::uint16_t kAuthoritative =
    entry_flag::kOwned | entry_flag::kAway | entry_flag::kHint;
  return (entry.flags & kAuthoritative) != 0 || request.relayed() ||
         this->board.slots[request.slot].acting();
}

Decision
ForwardingController::routeKnown(const Request& request, FlowEntry& entry)
{
  const Slot& slot = this->board.slots[request.slot];
  const bool acting = slot.acting();
  this->maintenance.noteSeen(entry, request.now);
  if (request.packet.kind == PacketKind::closing) {
    const bool ownerNeedsPacket = !acting && !request.relayed();
    if (ownerNeedsPacket && this->nextOwner(request) != kNoMember) {
      return this->relayToNextOwner(request);
    }
    this->maintenance.noteClosed(request.flow, entry, request.now);
  } else if (!acting && !request.relayed() &&
             this->maintenance.shouldRefreshOwner(entry, request.now) &&
             this->nextOwner(request) != kNoMember) {
    return this->relayToNextOwner(request);
  }
  if (acting && request.relayed()) {
    this->maintenance.noteRelayed(request.flow, entry, request.from);
  }
  return this->forward(request, entry.target);
}

Decision
ForwardingController::routeOpening(const Request& request,
                                   const FlowEntry* earlier)
{
  const Slot& slot = this->board.slots[request.slot];
  if (!slot.acting()) {
    if (request.relayed() && slot.owners.primary == request.from) {
      this->board.disclaimedSlots.emplace(request.from, request.slot);
    }
    Service& service = this->board.services[request.service];
    if (!request.relayed() && !takeRelay(service, request.now)) {
      return this->drop(request, Reason::relayLimited);
    }
    return this->relayToNextOwner(request);
  }
  const bool retransmitted = earlier != nullptr &&
                             !earlier->has(entry_flag::kClosed) &&
                             earlier->service == request.service;
  if (retransmitted) {
    return this->forward(request, earlier->target);
  }
  return this->place(request, earlier);
}

Decision
ForwardingController::place(const Request& request, const FlowEntry* earlier)
{
  const Placement placement =
    this->placement.place(request.service, request.flow, earlier, request.now);
  if (placement.target == kNoTargetIndex) {
    return placement.refused ? this->refuse(request, placement.reason)
                             : this->drop(request, placement.reason);
  }
  FlowEntry entry;
  entry.target = placement.target;
  entry.service = request.service;
  entry.flags = entry_flag::kOwned;
  entry.placedSecond = internal::toSecond(request.now);
  entry.seenSecond = entry.placedSecond;
  this->board.flows.insert_or_assign(request.flow, entry);
  this->maintenance.noteOwned(request.flow, request.service);
  Target& target = this->board.targets[placement.target];
  ++target.ownFlows;
  target.placedByLoadSinceSummary += placement.byLoad ? 1 : 0;
  Service& service = this->board.services[request.service];
  ++service.ownFlows;
  ++service.counters.placed;
  service.counters.placedByLoad += placement.byLoad ? 1 : 0;
  ++this->board.counters.placed;
  this->logPlacement(request, placement);
  Decision decision = this->forward(request, placement.target);
  decision.placed = true;
  return decision;
}

void
ForwardingController::logPlacement(const Request& request,
                                   const Placement& placement)
{
  Event event;
  event.kind = EventKind::placement;
  event.flow = request.packet.key;
  event.service = request.service;
  event.target = placement.target;
  event.note = placement.byLoad ? "load" : "table";
  this->board.log(std::move(event));
}

Decision
ForwardingController::routeUnknown(const Request& request)
{
  const Slot& slot = this->board.slots[request.slot];
  if (slot.acting()) {
    return this->routeUnknownAsOwner(request);
  }
  if (request.relayed()) {
    return this->relayToNextOwner(request);
  }
  const Service& service = this->board.services[request.service];
  const bool tableIsValid =
    this->board.trust.trusted &&
    !this->board.mustRelayToOwner(service, request.bucket);
  const bool notifyOwner =
    request.packet.kind == PacketKind::closing ||
    this->board.random.below(internal::kOwnerSampleInterval) == 0;
  const MemberIndex primary = slot.owners.primary;
  const bool ownerAlive =
    primary != kNoMember && primary != kSelf &&
    this->board.members[primary].liveness == Liveness::alive;
  if (tableIsValid && !(notifyOwner && ownerAlive)) {
    return this->forward(request, service.table[request.bucket]);
  }
  return this->relayToNextOwner(request);
}

Decision
ForwardingController::routeUnknownAsOwner(const Request& request)
{
  const Service& service = this->board.services[request.service];
  const Slot& slot = this->board.slots[request.slot];
  const std::uint8_t flags = service.flags[request.bucket];
  if (flags == 0 && this->board.trust.trusted) {
    return this->adopt(request, service.table[request.bucket]);
  }
  // This instance has an entry for each flow that it placed. If it has owned
  // the slot since before the change, an unknown flow was opened before it and
  // follows the previous table.
  constexpr std::uint8_t kPlacedOffTable =
    bucket_flag::kFlexible | bucket_flag::kDiverted | bucket_flag::kUnverified;
  const bool openedBeforeChange =
    (flags & kPlacedOffTable) == 0 && slot.heldSince <= service.unsettledSince;
  if (openedBeforeChange && this->board.trust.trusted) {
    return this->adopt(request, service.previousTarget(request.flow));
  }
  const bool mayOpen = request.packet.kind == PacketKind::datagram &&
                       slot.hasAllFlows && this->board.trust.trusted;
  if (mayOpen) {
    return this->place(request, nullptr);
  }
  return this->relayToNextOwner(request);
}

Decision
ForwardingController::adopt(const Request& request, TargetIndex target)
{
  const bool known =
    target != kNoTargetIndex && this->board.targets[target].published;
  if (!known) {
    return this->drop(request, Reason::inDoubt);
  }
  if (request.packet.kind != PacketKind::closing &&
      request.packet.kind != PacketKind::icmpError) {
    FlowEntry entry;
    entry.target = target;
    entry.service = request.service;
    entry.flags = entry_flag::kOwned;
    entry.placedSecond = internal::toSecond(request.now);
    entry.seenSecond = entry.placedSecond;
    this->board.flows.insert_or_assign(request.flow, entry);
    this->maintenance.noteOwned(request.flow, request.service);
    ++this->board.counters.adopted;
  }
  return this->forward(request, target);
}

/// \returns the next owner that may know the flow and has not had the packet,
/// or kNoMember.
MemberIndex
ForwardingController::nextOwner(const Request& request) const
{
  const Slot& slot = this->board.slots[request.slot];
  const std::array candidates{ slot.owners.primary,
                               slot.previousOwner,
                               slot.owners.second,
                               slot.owners.third };
  for (const MemberIndex candidate : candidates) {
    if (candidate == kNoMember || candidate == kSelf ||
        !this->board.members[candidate].reachable()) {
      continue;
    }
    const MemberTag tag = this->board.members[candidate].tag;
    const bool tried =
      std::find(request.tried.begin(), request.tried.end(), tag) !=
      request.tried.end();
    if (!tried) {
      return candidate;
    }
  }
  return kNoMember;
}

Decision
ForwardingController::relayToNextOwner(const Request& request)
{
  if (request.tried.size() + 1 >= internal::kMaxHops) {
    return this->drop(request, Reason::hopLimit);
  }
  const MemberIndex next = this->nextOwner(request);
  const Slot& slot = this->board.slots[request.slot];
  // Only the acting owner places an opening; the backup owners can't.
  const bool cannotPlace = request.opening() && next != slot.owners.primary &&
                           next != slot.previousOwner;
  if (next == kNoMember || cannotPlace) {
    return this->drop(request,
                      next == kNoMember ? Reason::inDoubt : Reason::noOwner);
  }
  Decision decision;
  decision.outcome = Outcome::relay;
  decision.peer = next;
  decision.tried.assign(request.tried.begin(), request.tried.end());
  decision.tried.push_back(this->board.self().tag);
  return decision;
}

Decision
ForwardingController::forward(const Request& request, TargetIndex index)
{
  if (index == kNoTargetIndex) {
    return this->drop(request, Reason::noTarget);
  }
  if (!this->board.targets[index].published) {
    return this->drop(request, Reason::targetGone);
  }
  Decision decision;
  decision.outcome = Outcome::forward;
  decision.target = index;
  return decision;
}

Decision
ForwardingController::drop(const Request& request, Reason reason)
{
  Decision decision;
  decision.outcome = Outcome::drop;
  decision.reason = reason;
  Event event;
  event.kind = EventKind::drop;
  event.flow = request.packet.key;
  event.service = request.service;
  event.reason = reason;
  this->board.log(std::move(event));
  return decision;
}

Decision
ForwardingController::refuse(const Request& request, Reason reason)
{
  Decision decision = this->drop(request, reason);
  this->board.outbox.events.back().kind = EventKind::refusal;
  decision.outcome = Outcome::refuse;
  return decision;
}

}
