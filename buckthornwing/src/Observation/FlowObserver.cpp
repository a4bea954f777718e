#include "FlowObserver.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Limit of the flow table. Further flows are forwarded but not tracked.
constexpr std::size_t kMaxTrackedFlows = 400000;

/// \returns whether sequence number \a left is after \a right, modulo 2^32.
bool
isAfter(std::uint32_t left, std::uint32_t right)
{
  return static_cast<std::int32_t>(left - right) > 0;
}

/// \brief Minimum delay of a retransmission. Data that is seen again sooner was
/// reordered by the network.
constexpr MilliDuration kMinRetransmissionDelay{ 150 };
/// \brief Maximum time without a packet for a request in progress. After it,
/// the packets of the flow are assumed to take a path through another instance.
constexpr MilliDuration kBusyTimeout{ 2500 };

/// \brief Time from the first packet until the loads of targets are known: new
/// flows have replaced those opened through other instances, and peers have
/// reported.
constexpr MilliDuration kTimeToKnowLoads{ 5000 };

/// \brief Time that a closed flow is remembered, to recognize packets that
/// arrive after its end.
constexpr MilliDuration kClosedFlowLifetime{ 4000 };

const TargetLoad kNoLoad;

}

const TrackedFlow*
FlowObserver::find(FlowId id) const
{
  const TrackedFlow* flow = this->findOpenOrClosed(id);
  return flow != nullptr && !flow->closed ? flow : nullptr;
}

const TrackedFlow*
FlowObserver::findOpenOrClosed(FlowId id) const
{
  const auto found = this->flows.find(id);
  return found == this->flows.end() ? nullptr : &found->second;
}

const TargetLoad&
FlowObserver::load(TargetSlot target) const
{
  return target < this->loads.size() ? this->loads[target] : internal::kNoLoad;
}

TargetLoad&
FlowObserver::mutableLoad(TargetSlot target)
{
  if (target >= this->loads.size()) {
    this->loads.resize(target + 1);
  }
  return this->loads[target];
}

void
FlowObserver::markBusy(TrackedFlow& flow)
{
  if (!flow.busy) {
    flow.busy = true;
    ++this->mutableLoad(flow.target).busy;
  }
}

void
FlowObserver::markIdle(TrackedFlow& flow)
{
  flow.requested = false;
  if (flow.busy) {
    flow.busy = false;
    --this->mutableLoad(flow.target).busy;
  }
}

void
FlowObserver::removeFromLoad(const TrackedFlow& flow)
{
  if (flow.closed) {
    return;
  }
  TargetLoad& load = this->mutableLoad(flow.target);
  --load.flows;
  load.busy -= flow.busy ? 1 : 0;
  load.silentFlows -= flow.retransmissions > 0 ? 1 : 0;
}

void
FlowObserver::recordResponse(TrackedFlow& flow, MilliTime now)
{
  TargetLoad& load = this->mutableLoad(flow.target);
  load.progressAt = now;
  if (flow.retransmissions > 0) {
    flow.retransmissions = 0;
    --load.silentFlows;
  }
}

void
FlowObserver::recordProgress(TrackedFlow& flow,
                             const CallerPacket& packet,
                             MilliTime now)
{
  const bool isRetransmitted = flow.retransmissions > 0;
  this->recordResponse(flow, now);
  this->mutableLoad(flow.target).hasAnswered = true;
  if (!flow.busy) {
    return;
  }
  if (flow.requested) {
    this->serviceTimeHistogram.add(now - flow.busySince);
    // A packet with the next request came after a pause of the caller, so it
    // does not tell when the answer arrived.
    if (!isRetransmitted && packet.payload.empty()) {
      this->addServiceTime(flow, now);
    }
  }
  this->markIdle(flow);
}

void
FlowObserver::addServiceTime(const TrackedFlow& flow, MilliTime now)
{
  const MilliDuration took = now - flow.busySince;
  if (flow.foundFreeSlot && took > flow.roundTrip) {
    const MilliDuration served{ took.ms - flow.roundTrip.ms };
    this->mutableLoad(flow.target)
      .serviceTime.add(this->kindTimes.toAverage(flow.kind, served), now);
  }
}

bool
FlowObserver::hasFreeSlot(const TrackedFlow& flow, MilliTime now) const
{
  const TargetLoad& load = this->load(flow.target);
  const double others = load.busy + load.peerBusy - (flow.busy ? 1 : 0);
  return others + 1 <= load.slots &&
         now - this->firstPacketAt >= internal::kTimeToKnowLoads;
}

void
FlowObserver::countRetransmission(TrackedFlow& flow)
{
  if (flow.retransmissions == 0) {
    ++this->mutableLoad(flow.target).silentFlows;
  }
  constexpr int kMost = 255;
  flow.retransmissions =
    static_cast<std::uint8_t>(std::min(flow.retransmissions + 1, kMost));
}

Observation
FlowObserver::observeData(TrackedFlow& flow,
                          const CallerPacket& packet,
                          MilliTime now)
{
  const std::uint32_t end =
    packet.sequence + static_cast<std::uint32_t>(packet.payload.size());
  if (internal::isAfter(end, flow.nextSequence)) {
    flow.nextSequence = end;
    flow.sentAt = now;
    if (!flow.requested) {
      flow.requested = true;
      flow.busySince = now;
      flow.foundFreeSlot = this->hasFreeSlot(flow, now);
    }
    const bool isFurther = !flow.busy;
    this->markBusy(flow);
    return isFurther ? Observation::requestedAgain : Observation::requested;
  }
  if (now - flow.sentAt < internal::kMinRetransmissionDelay) {
    return Observation::nothing;
  }
  this->countRetransmission(flow);
  return Observation::dataRetransmitted;
}

Observation
FlowObserver::observe(TrackedFlow& flow,
                      const CallerPacket& packet,
                      MilliTime now)
{
  Observation result = Observation::nothing;
  if (!flow.established) {
    flow.established = true;
    flow.nextSequence = packet.sequence;
    flow.acknowledged = packet.acknowledged;
    if (flow.openingSeen && flow.retransmissions == 0) {
      flow.roundTrip = now - flow.openedAt;
    }
    this->recordResponse(flow, now);
    if (flow.openingSeen) {
      this->mutableLoad(flow.target).hasAnswered = true;
    }
    result = Observation::established;
  } else if (internal::isAfter(packet.acknowledged, flow.acknowledged)) {
    flow.acknowledged = packet.acknowledged;
    this->recordProgress(flow, packet, now);
    result = Observation::progressed;
  }
  if (packet.payload.empty()) {
    return result;
  }
  return this->observeData(flow, packet, now);
}

TrackedFlows::iterator
FlowObserver::insertFlow(TrackedFlows::iterator known,
                         const CallerPacket& packet,
                         FlowId id,
                         TargetSlot target,
                         MilliTime now)
{
  if (known != this->flows.end()) {
    this->removeFromLoad(known->second);
  }
  TrackedFlow flow;
  flow.key = packet.flow;
  flow.target = target;
  flow.openedAt = now;
  flow.sentAt = now;
  flow.openingSeen = packet.isOpening;
  const auto entered = this->flows.insert_or_assign(id, flow).first;
  ++this->mutableLoad(target).flows;
  if (packet.isOpening) {
    // Clients send the first request right after the handshake.
    this->markBusy(entered->second);
  }
  return entered;
}

void
FlowObserver::close(TrackedFlows::iterator flow)
{
  if (flow != this->flows.end() && !flow->second.closed) {
    this->removeFromLoad(flow->second);
    flow->second.closed = true;
    flow->second.busy = false;
    flow->second.requested = false;
    flow->second.retransmissions = 0;
  }
}

Observation
FlowObserver::onForwarded(const CallerPacket& packet,
                          FlowId id,
                          TargetSlot target,
                          RouteKind kind,
                          FlowTag tag,
                          MilliTime now)
{
  if (this->firstPacketAt.ms == 0) {
    this->firstPacketAt = now;
  }
  auto found = this->flows.find(id);
  const bool isNew = found == this->flows.end();
  const bool closes = packet.isReset || packet.isFinish;
  // A bare acknowledgement of an unknown flow may belong to a flow that was
  // opened before this instance started and has ended since.
  const bool carriesNothing =
    !packet.isOpening && !closes && packet.payload.empty();
  if (isNew &&
      (carriesNothing || this->flows.size() >= internal::kMaxTrackedFlows)) {
    return Observation::nothing;
  }
  if (closes) {
    // Data sent earlier may still arrive, so the closed flow is remembered.
    if (isNew) {
      found = this->insertFlow(found, packet, id, target, now);
    }
    found->second.lastPacketAt = now;
    this->close(found);
    return Observation::closed;
  }
  const bool isReopened = !isNew && found->second.closed && packet.isOpening;
  if (!isNew && found->second.closed && !isReopened) {
    return Observation::nothing;
  }
  if (isNew || isReopened || found->second.target != target) {
    found = this->insertFlow(found, packet, id, target, now);
    found->second.kind = kind;
    found->second.tag = tag;
  }
  TrackedFlow& flow = found->second;
  flow.lastPacketAt = now;
  if (!packet.isOpening) {
    return this->observe(flow, packet, now);
  }
  // If the earlier transmissions passed through another instance, this one
  // can't tell whether the target received them.
  if (packet.openingCopyIndex == 0 || isNew) {
    return Observation::opened;
  }
  this->countRetransmission(flow);
  return Observation::openingRetransmitted;
}

void
FlowObserver::onReset(FlowId id)
{
  this->close(this->flows.find(id));
}

void
FlowObserver::sweep(MilliTime now, MilliDuration idle)
{
  boost::unordered::erase_if(this->flows, [&](auto&& flow) {
    const MilliDuration most =
      flow.second.closed ? internal::kClosedFlowLifetime : idle;
    if (now - flow.second.lastPacketAt > most) {
      this->removeFromLoad(flow.second);
      return true;
    }
    if (now - flow.second.lastPacketAt > internal::kBusyTimeout) {
      this->markIdle(flow.second);
    }
    return false;
  });
}

void
FlowObserver::forgetTarget(TargetSlot target)
{
  boost::unordered::erase_if(this->flows, [target](const auto& flow) {
    return flow.second.target == target;
  });
  this->mutableLoad(target) = TargetLoad{};
}

void
FlowObserver::onTargetListed(TargetSlot target,
                             double slots,
                             std::uint64_t incarnation)
{
  if (this->load(target).incarnation != incarnation) {
    this->forgetSpeed(target);
  }
  TargetLoad& load = this->mutableLoad(target);
  load.slots = slots;
  load.incarnation = incarnation;
}

void
FlowObserver::forgetSpeed(TargetSlot target)
{
  TargetLoad& load = this->mutableLoad(target);
  load.serviceTime = {};
  load.peerServiceTime = {};
  load.relativeServiceTime = 1;
  load.speedChangedAt = {};
}

}
