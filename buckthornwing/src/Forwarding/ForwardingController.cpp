#include "ForwardingController.h"

#include <algorithm>
#include <array>

namespace buckthornwing {
namespace internal {

/// \brief Instances that see one packet at most: the receiver, the primary,
/// its predecessor or the second owner, and the third.
constexpr std::size_t kMostHops = 5;
/// \brief One packet in so many of a flow that follows the table goes by way
/// of its owner, which so learns that the flow is alive.
constexpr std::uint64_t kSampleEvery = 128;

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
                                           FlowCare& care)
  : board(board)
  , placement(placement)
  , care(care)
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
  if (!this->entryCounts(request, entry)) {
    return this->routeUnknown(request);
  }
  return this->routeKnown(request, entry);
}

/// \brief A backup may be older than the flow, so packets from the fabric ask
/// the owner instead.
bool
ForwardingController::entryCounts(const Request& request,
                                  const FlowEntry& entry) const
{
  constexpr std::uint16_t kFirstHand =
    entry_flag::kOwned | entry_flag::kAway | entry_flag::kHint;
  return (entry.flags & kFirstHand) != 0 || request.relayed() ||
         this->board.slots[request.slot].acting();
}

Decision
ForwardingController::routeKnown(const Request& request, FlowEntry& entry)
{
  const Slot& slot = this->board.slots[request.slot];
  const bool acting = slot.acting();
  this->care.noteSeen(entry, request.now);
  if (request.packet.kind == PacketKind::closing) {
    const bool ownerHears = !acting && !request.relayed();
    if (ownerHears && this->nextToAsk(request) != kNoMember) {
      return this->askOwners(request);
    }
    this->care.noteClosed(request.flow, entry, request.now);
  } else if (!acting && !request.relayed() &&
             this->care.ownerShouldHear(entry, request.now) &&
             this->nextToAsk(request) != kNoMember) {
    return this->askOwners(request);
  }
  if (acting && request.relayed()) {
    this->care.noteRelayed(request.flow, entry, request.from);
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
      this->board.disclaims.emplace(request.from, request.slot);
    }
    Service& service = this->board.services[request.service];
    if (!request.relayed() && !takeRelay(service, request.now)) {
      return this->drop(request, Reason::relayLimited);
    }
    return this->askOwners(request);
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
  this->care.noteOwned(request.flow, request.service);
  Target& target = this->board.targets[placement.target];
  ++target.ownFlows;
  target.placedByLoad += placement.byLoad ? 1 : 0;
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
    return this->askOwners(request);
  }
  const Service& service = this->board.services[request.service];
  const bool sure =
    this->board.trust.trusted && !this->board.mustAsk(service, request.bucket);
  const bool tellOwner = request.packet.kind == PacketKind::closing ||
                         this->board.random.below(internal::kSampleEvery) == 0;
  const MemberIndex primary = slot.owners.primary;
  const bool ownerHears =
    primary != kNoMember && primary != kSelf &&
    this->board.members[primary].liveness == Liveness::alive;
  if (sure && !(tellOwner && ownerHears)) {
    return this->forward(request, service.table[request.bucket]);
  }
  return this->askOwners(request);
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
  // Every flow that this instance placed is in its table. If it has held the
  // slot since before the change, an unknown flow is older than the change.
  constexpr std::uint8_t kOtherwisePlaced =
    bucket_flag::kFlexible | bucket_flag::kDiverted | bucket_flag::kUnvouched;
  const bool older =
    (flags & kOtherwisePlaced) == 0 && slot.heldSince <= service.movedSince;
  if (older && this->board.trust.trusted) {
    return this->adopt(request, service.baseTarget(request.flow));
  }
  const bool mayOpen = request.packet.kind == PacketKind::datagram &&
                       slot.knowsAll && this->board.trust.trusted;
  if (mayOpen) {
    return this->place(request, nullptr);
  }
  return this->askOwners(request);
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
    this->care.noteOwned(request.flow, request.service);
    ++this->board.counters.adopted;
  }
  return this->forward(request, target);
}

/// \returns the next instance that may know the flow, or kNoMember.
MemberIndex
ForwardingController::nextToAsk(const Request& request) const
{
  const Slot& slot = this->board.slots[request.slot];
  const std::array candidates{
    slot.owners.primary, slot.waitingFor, slot.owners.second, slot.owners.third
  };
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
ForwardingController::askOwners(const Request& request)
{
  if (request.tried.size() + 1 >= internal::kMostHops) {
    return this->drop(request, Reason::hopLimit);
  }
  const MemberIndex next = this->nextToAsk(request);
  const Slot& slot = this->board.slots[request.slot];
  // An opening is placed by the acting owner alone; backups can't help it.
  const bool pointless =
    request.opening() && next != slot.owners.primary && next != slot.waitingFor;
  if (next == kNoMember || pointless) {
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
