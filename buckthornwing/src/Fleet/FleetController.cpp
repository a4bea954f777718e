#include "FleetController.h"

#include "CapacityClass.h"

#include <algorithm>
#include <map>

namespace buckthornwing {
namespace internal {

constexpr MilliDuration kZoneHeartbeatPeriod{ 200 };
constexpr std::size_t kZoneHeartbeatPeers = 3;
constexpr MilliDuration kOtherZonesHeartbeatPeriod{ 400 };
constexpr std::size_t kOtherZonesHeartbeatPeers = 1;
/// \brief Period of heartbeats to the seeds while no peer is live.
constexpr MilliDuration kSeedPeriodWithoutPeers{ 200 };
/// \brief Period of heartbeats to the seeds otherwise; these reunite a fleet
/// after a network partition.
constexpr MilliDuration kSeedPeriod{ 5000 };
/// \brief Period at which membership changes are reported together.
constexpr MilliDuration kMemberReportPeriod{ 1000 };
/// \brief Maximum number of membership changes that are reported one by one.
/// More changes of one period are summarized for each zone.
constexpr std::size_t kMaxMemberEvents = 8;
/// \brief Maximum number of members in one request; their entries fit into one
/// datagram.
constexpr std::size_t kMaxRequestedMembers = 16;
constexpr MilliDuration kMemberRequestPeriod{ 50 };
/// \brief Minimum time between notices to other zones that the store confirmed
/// the view.
constexpr MilliDuration kConfirmationPeriod{ 400 };

}

FleetController::FleetController(TagBlackboard& board, ViewController& view)
  : board(board)
  , members(
      { board.settings.id,
        board.settings.zone,
        board.settings.advertisedAddress,
        board.settings.incarnation,
        false,
        false,
        capacityClassOf(board.settings.linkMegabits, board.settings.cpuShare) })
  , reports(board)
  , messenger(board, members, reports)
  , exchange(board, view, members, messenger)
  , startReadDelay(board.settings.policy.asksPeersFirst
                     ? initialReadDelay({ board.settings.isFirstStart,
                                          this->isSeed(),
                                          board.settings.linkMegabits },
                                        board.random)
                     : MilliDuration{})
{
}

void
FleetController::reportMemberChanges(MilliTime now)
{
  const std::vector<MemberChange> changes = this->members.takeChanges(now);
  if (changes.size() > internal::kMaxMemberEvents) {
    this->reportChangesByZone(changes);
    return;
  }
  for (const MemberChange& change : changes) {
    this->board.events.push_back(
      { change.isLive ? TagEventKind::memberJoined : TagEventKind::memberLost,
        change.member.id,
        0,
        0,
        formatEndpoint(change.member.address) });
  }
}

void
FleetController::reportChangesByZone(std::span<const MemberChange> changes)
{
  struct Count
  {
    std::size_t joined = 0;
    std::size_t lost = 0;
  };
  std::map<std::string, Count> byZone;
  for (const MemberChange& change : changes) {
    Count& count = byZone[change.member.zone];
    ++(change.isLive ? count.joined : count.lost);
  }
  for (const auto& [zone, count] : byZone) {
    this->board.events.push_back({ TagEventKind::membersChanged,
                                   zone,
                                   0,
                                   0,
                                   std::to_string(count.joined) + " joined, " +
                                     std::to_string(count.lost) + " lost" });
  }
}

void
FleetController::tick(MilliTime now)
{
  if (this->startedAt.ms == 0) {
    this->startedAt = now;
  }
  this->members.forgetSilent(now);
  this->exchange.tick(now);
  this->pushView(now);
  if (now >= this->nextZoneHeartbeat) {
    this->nextZoneHeartbeat = now + internal::kZoneHeartbeatPeriod;
    for (const KnownMember* peer : this->members.sample(
           true, internal::kZoneHeartbeatPeers, this->board.random)) {
      this->messenger.sendHeartbeat(peer->member.address, now);
    }
    this->reports.updatePeerLoads(this->members, now);
  }
  if (now >= this->nextMemberReport) {
    this->nextMemberReport = now + internal::kMemberReportPeriod;
    this->reportMemberChanges(now);
  }
  if (now >= this->nextOtherZonesHeartbeat) {
    this->nextOtherZonesHeartbeat = now + internal::kOtherZonesHeartbeatPeriod;
    for (const KnownMember* peer : this->members.sample(
           false, internal::kOtherZonesHeartbeatPeers, this->board.random)) {
      this->messenger.sendHeartbeat(peer->member.address, now);
    }
  }
  if (now >= this->nextSeedHeartbeat) {
    const bool hasNoPeers = this->members.liveCount(now) == 0;
    this->nextSeedHeartbeat =
      now +
      (hasNoPeers ? internal::kSeedPeriodWithoutPeers : internal::kSeedPeriod);
    for (const Endpoint& seed : this->board.settings.seeds) {
      if (seed != this->members.own().address) {
        this->messenger.sendHeartbeat(seed, now);
      }
    }
  }
}

void
FleetController::pushView(MilliTime now)
{
  this->exchange.push(this->shouldReadStore(now), now);
}

void
FleetController::announceConfirmation(MilliTime now)
{
  if (!this->board.hasView()) {
    return;
  }
  const KnownMember* standBy = this->members.standBy(now);
  if (standBy != nullptr && this->board.settings.policy.hasStandBy) {
    this->messenger.sendHeartbeat(standBy->member.address, now);
  }
  if (now < this->nextConfirmation ||
      !this->board.settings.policy.sendsChangesToZones) {
    return;
  }
  this->nextConfirmation = now + internal::kConfirmationPeriod;
  for (const KnownMember* peer :
       this->members.sampleOtherZones(now, this->board.random)) {
    this->messenger.sendHeartbeat(peer->member.address, now);
  }
}

bool
FleetController::isSeed() const
{
  const auto& seeds = this->board.settings.seeds;
  return std::find(seeds.begin(), seeds.end(), this->members.own().address) !=
         seeds.end();
}

bool
FleetController::shouldReadStore(MilliTime now) const
{
  StoreReaderSituation situation;
  situation.hasView = this->board.hasView();
  situation.isFetching = this->exchange.isFetching();
  situation.sinceStart =
    this->startedAt.ms == 0 ? MilliDuration{} : now - this->startedAt;
  situation.initialReadDelay = this->startReadDelay;
  if (this->exchange.firstOfferAt().ms != 0) {
    situation.sinceOffered = now - this->exchange.firstOfferAt();
  }
  situation.role = this->members.role(now);
  if (!this->board.settings.policy.hasStandBy &&
      situation.role == ReaderRole::standBy) {
    situation.role = ReaderRole::none;
  }
  situation.rankInZone = this->members.rankInZone(now);
  situation.targetsAge = now - this->board.targetsConfirmedAt;
  situation.routesAge = now - this->board.routesConfirmedAt;
  if (this->exchange.newerViewAtPeersSince().ms != 0) {
    situation.behindFor = now - this->exchange.newerViewAtPeersSince();
  }
  return buckthornwing::shouldReadStore(situation);
}

void
FleetController::onMessage(const FleetMessage& message, MilliTime now)
{
  const bool isNew = this->members.isNew(message.sender);
  KnownMember* member = this->members.recordMessage(message.sender, now);
  if (member == nullptr) {
    return;
  }
  std::visit([&](const auto& body) { this->onBody(body, message.sender, now); },
             message.body);
  if (std::holds_alternative<FleetHeartbeat>(message.body)) {
    this->answerStartingMember(message.sender, isNew, now);
  }
  this->exchange.requestFirstView(now);
  this->exchange.announceFirstView(now);
}

void
FleetController::onBody(const FleetHeartbeat& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  KnownMember& member = this->members.all()[sender.address];
  member.view = body.view;
  for (const GossipedMember& other : body.members) {
    this->members.mergeGossip(other, now);
  }
  this->mergeLivenessEntries(body.liveness, sender.address, now);
  this->reports.receive(member, body, now);
  this->exchange.mergeConfirmations(body.view, now);
  this->exchange.requestIfNewer(body.view, sender.address, now);
}

void
FleetController::onBody(const ViewRequest& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  this->exchange.onRequest(body, sender, now);
}

void
FleetController::onBody(const ViewPart& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  this->exchange.onPart(body, sender, now);
}

void
FleetController::onBody(const MemberRequest& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  const auto keys = std::span(body.keys).first(
    std::min(body.keys.size(), internal::kMaxRequestedMembers));
  this->messenger.sendMembers(sender.address, keys, now);
}

void
FleetController::mergeLivenessEntries(std::span<const MemberLiveness> liveness,
                                      const Endpoint& from,
                                      MilliTime now)
{
  MemberRequest request;
  for (const MemberLiveness& entry : liveness) {
    const bool isKnown = this->members.mergeLiveness(entry, now);
    if (!isKnown && request.keys.size() < internal::kMaxRequestedMembers) {
      request.keys.push_back(entry.key);
    }
  }
  if (!request.keys.empty() && now >= this->nextMemberRequest) {
    this->nextMemberRequest = now + internal::kMemberRequestPeriod;
    this->messenger.send(from, std::move(request));
  }
}

void
FleetController::answerStartingMember(const FleetMember& peer,
                                      bool isNew,
                                      MilliTime now)
{
  // An instance without a view can still name other members, but only in answer
  // to the first message: two starting instances would otherwise answer each
  // other endlessly.
  if (!peer.hasView && (this->board.hasView() || isNew)) {
    this->messenger.sendOffer(peer.address, now);
  }
}

}
