#include "FleetController.h"

#include <algorithm>
#include <map>

namespace buckthornwing {
namespace internal {

constexpr MilliDuration kZoneBeatPeriod{ 200 };
constexpr std::size_t kZoneBeatPeers = 3;
constexpr MilliDuration kFarBeatPeriod{ 400 };
constexpr std::size_t kFarBeatPeers = 1;
/// \brief Seeds are contacted often while nobody is known, and now and then
/// later on, so that a split fleet finds together again.
constexpr MilliDuration kLonelySeedPeriod{ 200 };
constexpr MilliDuration kSeedPeriod{ 5000 };
/// \brief Changes of this time are told together.
constexpr MilliDuration kMemberReportPeriod{ 1000 };
/// \brief More members that join or leave at once are told by zone.
constexpr std::size_t kMostMemberLines = 8;
/// \brief Members that one request may name; their entries fit one datagram.
constexpr std::size_t kMembersAsked = 16;
constexpr MilliDuration kMemberRequestPeriod{ 50 };
/// \brief Members hear no more often that the store confirmed the view.
constexpr MilliDuration kConfirmationPeriod{ 400 };

}

FleetController::FleetController(TagBoard& board, ViewController& view)
  : board(board)
  , members({ board.settings.id,
              board.settings.zone,
              board.settings.advertisedAddress,
              board.settings.incarnation,
              false })
  , reports(board)
  , messenger(board, members, reports)
  , exchange(board, view, members, messenger)
  , askPeersFirst(board.settings.policy.spreadsReads
                    ? askPeersFor({ board.settings.isFirstStart,
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
  if (changes.size() > internal::kMostMemberLines) {
    this->reportManyChanges(changes);
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
FleetController::reportManyChanges(std::span<const MemberChange> changes)
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
  if (now >= this->nextZoneBeat) {
    this->nextZoneBeat = now + internal::kZoneBeatPeriod;
    for (const KnownMember* peer : this->members.sample(
           true, internal::kZoneBeatPeers, this->board.random)) {
      this->messenger.sendHeartbeat(peer->member.address, now);
    }
    this->reports.sum(this->members, now);
  }
  if (now >= this->nextMemberReport) {
    this->nextMemberReport = now + internal::kMemberReportPeriod;
    this->reportMemberChanges(now);
  }
  if (now >= this->nextFarBeat) {
    this->nextFarBeat = now + internal::kFarBeatPeriod;
    for (const KnownMember* peer : this->members.sample(
           false, internal::kFarBeatPeers, this->board.random)) {
      this->messenger.sendHeartbeat(peer->member.address, now);
    }
  }
  if (now >= this->nextSeedBeat) {
    const bool isLonely = this->members.liveCount(now) == 0;
    this->nextSeedBeat =
      now + (isLonely ? internal::kLonelySeedPeriod : internal::kSeedPeriod);
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
FleetController::tellConfirmed(MilliTime now)
{
  if (!this->board.hasView()) {
    return;
  }
  const KnownMember* standBy = this->members.standBy(now);
  if (standBy != nullptr && this->board.settings.policy.hasStandBy) {
    this->messenger.sendHeartbeat(standBy->member.address, now);
  }
  if (now < this->nextConfirmation || !this->board.settings.policy.tellsZones) {
    return;
  }
  this->nextConfirmation = now + internal::kConfirmationPeriod;
  for (const KnownMember* peer :
       this->members.oneInEachOtherZone(now, this->board.random)) {
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
  situation.askPeersFor = this->askPeersFirst;
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
  if (this->exchange.newerAtPeersSince().ms != 0) {
    situation.behindFor = now - this->exchange.newerAtPeersSince();
  }
  return buckthornwing::shouldReadStore(situation);
}

void
FleetController::onMessage(const FleetMessage& message, MilliTime now)
{
  const bool isNew = this->members.isNew(message.sender);
  KnownMember* member = this->members.hear(message.sender, now);
  if (member == nullptr) {
    return;
  }
  std::visit([&](const auto& body) { this->onBody(body, message.sender, now); },
             message.body);
  if (std::holds_alternative<FleetHeartbeat>(message.body)) {
    this->answerStarter(message.sender, isNew, now);
  }
  this->exchange.seek(now);
  this->exchange.offer(now);
}

void
FleetController::onBody(const FleetHeartbeat& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  KnownMember& member = this->members.all()[sender.address];
  member.view = body.view;
  for (const GossipedMember& other : body.members) {
    this->members.hearOf(other, now);
  }
  this->hearSigns(body.signs, sender.address, now);
  this->reports.take(member, body, now);
  this->exchange.confirm(body.view, now);
  this->exchange.askIfOlder(body.view, sender.address, now);
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
    std::min(body.keys.size(), internal::kMembersAsked));
  this->messenger.sendMembers(sender.address, keys, now);
}

void
FleetController::hearSigns(std::span<const MemberSign> signs,
                           const Endpoint& from,
                           MilliTime now)
{
  MemberRequest request;
  for (const MemberSign& sign : signs) {
    const bool isKnown = this->members.hearSign(sign, now);
    if (!isKnown && request.keys.size() < internal::kMembersAsked) {
      request.keys.push_back(sign.key);
    }
  }
  if (!request.keys.empty() && now >= this->nextMemberRequest) {
    this->nextMemberRequest = now + internal::kMemberRequestPeriod;
    this->messenger.send(from, std::move(request));
  }
}

void
FleetController::answerStarter(const FleetMember& peer,
                               bool isNew,
                               MilliTime now)
{
  // One without a view can still tell of members, but only once: two that
  // start would answer each other for ever.
  if (!peer.hasView && (this->board.hasView() || isNew)) {
    this->messenger.sendOffer(peer.address, now);
  }
}

}
