#include "FlowObserver.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Share of the newest service time in the moving mean.
constexpr double kNewestShare = 0.1;
/// \brief Flows beyond this number are forwarded without being tracked.
constexpr std::size_t kMostTrackedFlows = 400000;

/// \returns whether \a left comes after \a right on the sequence circle.
bool
isAfter(std::uint32_t left, std::uint32_t right)
{
  return static_cast<std::int32_t>(left - right) > 0;
}

/// \brief Data seen again sooner was overtaken, not sent again.
constexpr MilliDuration kLeastRepeat{ 150 };
/// \brief A request in progress without a packet for so long went elsewhere.
constexpr MilliDuration kBusyLapse{ 2500 };

/// \brief Packets that trail a closed flow arrive within this time.
constexpr MilliDuration kClosedLife{ 4000 };

const TargetLoad kNoLoad;

}

const TrackedFlow*
FlowObserver::find(FlowId id) const
{
  const auto found = this->flows.find(id);
  const bool isOpen = found != this->flows.end() && !found->second.closed;
  return isOpen ? &found->second : nullptr;
}

const TargetLoad&
FlowObserver::load(TargetSlot target) const
{
  return target < this->loads.size() ? this->loads[target] : internal::kNoLoad;
}

TargetLoad&
FlowObserver::loadFor(TargetSlot target)
{
  if (target >= this->loads.size()) {
    this->loads.resize(target + 1);
  }
  return this->loads[target];
}

void
FlowObserver::startBusy(TrackedFlow& flow)
{
  if (!flow.busy) {
    flow.busy = true;
    ++this->loadFor(flow.target).busy;
  }
}

void
FlowObserver::endBusy(TrackedFlow& flow)
{
  flow.requested = false;
  if (flow.busy) {
    flow.busy = false;
    --this->loadFor(flow.target).busy;
  }
}

void
FlowObserver::leave(const TrackedFlow& flow)
{
  if (flow.closed) {
    return;
  }
  TargetLoad& load = this->loadFor(flow.target);
  --load.flows;
  load.busy -= flow.busy ? 1 : 0;
  load.silentFlows -= flow.repeats > 0 ? 1 : 0;
}

void
FlowObserver::noteLife(TrackedFlow& flow, MilliTime now)
{
  TargetLoad& load = this->loadFor(flow.target);
  load.progressAt = now;
  if (flow.repeats > 0) {
    flow.repeats = 0;
    --load.silentFlows;
  }
}

void
FlowObserver::progress(TrackedFlow& flow, MilliTime now)
{
  this->noteLife(flow, now);
  if (!flow.busy) {
    return;
  }
  TargetLoad& load = this->loadFor(flow.target);
  const double took = static_cast<double>((now - flow.busySince).ms);
  load.serviceMs += (took - load.serviceMs) * internal::kNewestShare;
  this->answered.add(now - flow.busySince);
  this->endBusy(flow);
}

void
FlowObserver::countRepeat(TrackedFlow& flow)
{
  if (flow.repeats == 0) {
    ++this->loadFor(flow.target).silentFlows;
  }
  constexpr int kMost = 255;
  flow.repeats = static_cast<std::uint8_t>(std::min(flow.repeats + 1, kMost));
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
    }
    this->startBusy(flow);
    return Observation::requested;
  }
  if (now - flow.sentAt < internal::kLeastRepeat) {
    return Observation::nothing;
  }
  this->countRepeat(flow);
  return Observation::repeated;
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
    this->noteLife(flow, now);
    result = Observation::established;
  } else if (internal::isAfter(packet.acknowledged, flow.acknowledged)) {
    flow.acknowledged = packet.acknowledged;
    this->progress(flow, now);
    result = Observation::progressed;
  }
  if (packet.payload.empty()) {
    return result;
  }
  return this->observeData(flow, packet, now);
}

TrackedFlows::iterator
FlowObserver::enter(TrackedFlows::iterator known,
                    const CallerPacket& packet,
                    FlowId id,
                    TargetSlot target,
                    MilliTime now)
{
  if (known != this->flows.end()) {
    this->leave(known->second);
  }
  TrackedFlow flow;
  flow.key = packet.flow;
  flow.target = target;
  flow.openedAt = now;
  flow.sentAt = now;
  const auto entered = this->flows.insert_or_assign(id, flow).first;
  ++this->loadFor(target).flows;
  if (packet.opens) {
    // Its first request follows at once.
    this->startBusy(entered->second);
  }
  return entered;
}

void
FlowObserver::close(TrackedFlows::iterator flow)
{
  if (flow != this->flows.end() && !flow->second.closed) {
    this->leave(flow->second);
    flow->second.closed = true;
    flow->second.busy = false;
    flow->second.requested = false;
    flow->second.repeats = 0;
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
  auto found = this->flows.find(id);
  const bool isNew = found == this->flows.end();
  const bool closes = packet.resets || packet.finishes;
  // An acknowledgement for a flow opened before this instance started may
  // trail its end.
  const bool carriesNothing =
    !packet.opens && !closes && packet.payload.empty();
  if (isNew &&
      (carriesNothing || this->flows.size() >= internal::kMostTrackedFlows)) {
    return Observation::nothing;
  }
  if (closes) {
    // Data that was sent before may still follow, so the flow is remembered.
    if (isNew) {
      found = this->enter(found, packet, id, target, now);
    }
    found->second.seenAt = now;
    this->close(found);
    return Observation::closed;
  }
  const bool isReopened = !isNew && found->second.closed && packet.opens;
  if (!isNew && found->second.closed && !isReopened) {
    return Observation::nothing;
  }
  if (isNew || isReopened || found->second.target != target) {
    found = this->enter(found, packet, id, target, now);
    found->second.kind = kind;
    found->second.tag = tag;
  }
  TrackedFlow& flow = found->second;
  flow.seenAt = now;
  if (!packet.opens) {
    return this->observe(flow, packet, now);
  }
  // Earlier copies that did not pass here say nothing about the target.
  if (packet.openingCopy == 0 || isNew) {
    return Observation::opened;
  }
  this->countRepeat(flow);
  return Observation::openingCopied;
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
      flow.second.closed ? internal::kClosedLife : idle;
    if (now - flow.second.seenAt > most) {
      this->leave(flow.second);
      return true;
    }
    if (now - flow.second.seenAt > internal::kBusyLapse) {
      this->endBusy(flow.second);
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
  this->loadFor(target) = TargetLoad{};
}

}
