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

const TargetLoad kNoLoad;

}

const TrackedFlow*
FlowObserver::find(FlowId id) const
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
FlowObserver::loadFor(TargetSlot target)
{
  if (target >= this->loads.size()) {
    this->loads.resize(target + 1);
  }
  return this->loads[target];
}

void
FlowObserver::endBusy(TrackedFlow& flow)
{
  if (flow.busy) {
    flow.busy = false;
    --this->loadFor(flow.target).busy;
  }
}

void
FlowObserver::leave(const TrackedFlow& flow)
{
  TargetLoad& load = this->loadFor(flow.target);
  --load.flows;
  load.busy -= flow.busy ? 1 : 0;
  load.silentFlows -= flow.repeats > 0 ? 1 : 0;
}

void
FlowObserver::progress(TrackedFlow& flow, MilliTime now)
{
  TargetLoad& load = this->loadFor(flow.target);
  load.progressAt = now;
  if (flow.repeats > 0) {
    flow.repeats = 0;
    --load.silentFlows;
  }
  if (!flow.busy) {
    return;
  }
  const double took = static_cast<double>((now - flow.busySince).ms);
  load.serviceMs += (took - load.serviceMs) * internal::kNewestShare;
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
    if (!flow.busy) {
      flow.busy = true;
      flow.busySince = now;
      ++this->loadFor(flow.target).busy;
    }
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
    this->progress(flow, now);
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

Observation
FlowObserver::onForwarded(const CallerPacket& packet,
                          FlowId id,
                          TargetSlot target,
                          RouteKind kind,
                          FlowTag tag,
                          MilliTime now)
{
  if (packet.resets || packet.finishes) {
    this->onReset(id);
    return Observation::closed;
  }
  auto found = this->flows.find(id);
  const bool isNew = found == this->flows.end();
  if (isNew && this->flows.size() >= internal::kMostTrackedFlows) {
    return Observation::nothing;
  }
  if (isNew || found->second.target != target) {
    if (!isNew) {
      this->leave(found->second);
    }
    TrackedFlow flow;
    flow.target = target;
    flow.tag = tag;
    flow.kind = kind;
    flow.key = packet.flow;
    flow.openedAt = now;
    flow.sentAt = now;
    found = this->flows.insert_or_assign(id, flow).first;
    ++this->loadFor(target).flows;
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
  const auto found = this->flows.find(id);
  if (found != this->flows.end()) {
    this->leave(found->second);
    this->flows.erase(found);
  }
}

void
FlowObserver::sweep(MilliTime now, MilliDuration idle)
{
  boost::unordered::erase_if(this->flows, [&](auto&& flow) {
    if (now - flow.second.seenAt > idle) {
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
