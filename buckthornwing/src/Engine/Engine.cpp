#include "Engine.h"

namespace buckthornwing {
namespace internal {

/// \brief Time without packets from the fabric after which a stopping instance
/// assumes that no more are sent to it, and for which it waits at least so that
/// all peers learn of the stop.
constexpr MilliDuration kQuietTime{ 1000 };
/// \brief Maximum duration of a planned stop.
constexpr MilliDuration kStopTimeout{ 30000 };

}

Engine::Engine(EngineSettings settings,
               std::uint32_t incarnation,
               std::uint64_t seed,
               MilliTime now)
  : board{ .settings = std::move(settings), .random = Random{ seed } }
  , membership(this->board)
  , trust(this->board, this->membership)
  , configuration(this->board)
  , load(this->board)
  , sender(this->board)
  , states(this->board, this->sender)
  , ownership(this->board, this->sender, this->states)
  , maintenance(this->board, this->sender)
  , placement(this->board, this->load, this->states)
  , forwarding(this->board, this->placement, this->maintenance)
{
  this->membership.start(incarnation, now);
}

Decision
Engine::onPacket(PacketBytes packet, MilliTime now)
{
  this->trust.detectPause(now);
  this->lastPacketAt = now;
  return this->forwarding.decide(packet, {}, kNoMember, now);
}

std::optional<Decision>
Engine::onPeerMessage(const PeerMessage& message, MilliTime now)
{
  this->trust.detectPause(now);
  const MemberIndex from = this->membership.receive(message, now);
  if (from == kNoMember) {
    return std::nullopt;
  }
  this->updateOwners(now);
  if (const auto* relay = std::get_if<Relay>(&message.body)) {
    return this->forwarding.decide(relay->packet, relay->tried, from, now);
  }
  this->dispatch(from, message.body, now);
  this->onRevisionAdopted(now);
  this->updateOwners(now);
  return std::nullopt;
}

void
Engine::dispatch(MemberIndex from, const PeerBody& body, MilliTime now)
{
  if (const auto* probe = std::get_if<Probe>(&body)) {
    this->membership.onProbe(from, *probe, now);
  } else if (const auto* batch = std::get_if<FlowBatch>(&body)) {
    this->ownership.onBatch(from, *batch, now);
  } else if (const auto* ack = std::get_if<Acknowledgement>(&body)) {
    this->sender.onAcknowledgement(*ack);
  } else if (const auto* announced = std::get_if<BucketStates>(&body)) {
    this->states.onBucketStates(from, *announced);
  } else if (std::holds_alternative<StatesRequest>(body)) {
    this->states.onStatesRequest(from);
  } else if (const auto* transfer = std::get_if<OwnershipTransfer>(&body)) {
    this->ownership.onTransfer(from, *transfer, now);
  } else if (const auto* summary = std::get_if<LoadSummary>(&body)) {
    this->load.onSummary(from, *summary, now);
  } else if (const auto* request = std::get_if<ConfigurationRequest>(&body)) {
    this->configuration.onRequest(from, *request, now);
  } else if (const auto* part = std::get_if<ConfigurationPart>(&body)) {
    this->configuration.onPart(from, *part, now);
  }
}

AdoptOutcome
Engine::onConfiguration(std::string_view text, MilliTime now)
{
  this->trust.detectPause(now);
  this->configuration.onPlatformContact(now);
  const AdoptOutcome outcome = this->configuration.onDocument(text, now);
  this->onRevisionAdopted(now);
  return outcome;
}

/// \brief Updates the other controllers after a revision was adopted, from the
/// platform or a peer. Has no effect if there is no new revision.
void
Engine::onRevisionAdopted(MilliTime now)
{
  if (this->board.view.revision == this->announcedRevision) {
    return;
  }
  this->announcedRevision = this->board.view.revision;
  this->membership.addListedInstances(this->configuration.listedInstances());
  this->trust.evaluate(now);
  this->membership.announceSelf(now);
  this->states.announce();
}

void
Engine::onPlatformContact(MilliTime now)
{
  this->configuration.onPlatformContact(now);
}

void
Engine::onInstanceList(std::span<const InstanceConfig> instances)
{
  this->membership.addListedInstances(instances);
}

void
Engine::onLoadReport(std::string_view targetId,
                     const LoadReport& report,
                     MilliTime now)
{
  const auto found = this->board.targetByTag.find(targetTag(targetId));
  if (found != this->board.targetByTag.end()) {
    this->load.onReport(found->second, report, now);
  }
}

/// \brief Reassigns slots if the set of owners changed.
void
Engine::updateOwners(MilliTime now)
{
  const bool healed = this->membership.takePartitionHealed();
  if (!this->membership.takeOwnersChanged()) {
    return;
  }
  this->ownership.reassign(now);
  if (healed) {
    this->ownership.startMerge(now);
    this->states.flagAll();
  }
  this->load.onOwnersChanged();
}

void
Engine::tick(MilliTime now)
{
  this->trust.detectPause(now);
  this->configuration.tick(now);
  this->membership.tick(now);
  this->trust.evaluate(now);
  this->updateOwners(now);
  this->ownership.tick(now);
  this->maintenance.tick(now);
  this->load.tick(now);
  this->placement.tick(now);
  this->states.tick(now);
  this->sender.tick(now);
  this->trust.recordTickEnd(now);
}

void
Engine::requestStop(MilliTime now)
{
  this->stopRequestedAt = now;
  this->membership.processLifecycle(LifecycleEvent::stopRequested, now);
  this->updateOwners(now);
}

bool
Engine::readyToStop(MilliTime now) const
{
  if (this->stopRequestedAt.ms < 0) {
    return false;
  }
  if (now - this->stopRequestedAt >= internal::kStopTimeout) {
    return true;
  }
  const bool quiet = now - this->lastPacketAt >= internal::kQuietTime;
  const bool peersInformed =
    now - this->stopRequestedAt >= internal::kQuietTime;
  return quiet && peersInformed && this->ownership.drained();
}

void
Engine::announceStopped(MilliTime now)
{
  this->membership.processLifecycle(LifecycleEvent::handoverEnded, now);
}

bool
Engine::shouldWatchPlatform(MilliTime now) const
{
  return this->configuration.shouldWatchPlatform(now);
}

LifecycleState
Engine::lifecycleState() const
{
  return this->membership.lifecycleState();
}

const Problems&
Engine::configurationProblems() const
{
  return this->configuration.lastProblems();
}

PeerMessage
Engine::relayMessage(const Decision& decision, PacketBytes packet) const
{
  return PeerMessage{ this->board.header(),
                      Relay{ decision.tried,
                             { packet.begin(), packet.end() } } };
}

}
