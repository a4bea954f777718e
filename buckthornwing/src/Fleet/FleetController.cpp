#include "FleetController.h"

#include "FleetCodec.h"

#include <algorithm>

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
constexpr MilliDuration kRequestPeriod{ 150 };
/// \brief News go to a few members at once, each of which passes them on.
constexpr std::size_t kPushPeers = 3;
constexpr MilliDuration kPushPeriod{ 100 };
/// \brief A push holds all news of this time, for members that missed some.
constexpr MilliDuration kPushOverlap{ 800 };
constexpr std::size_t kMostPushedBytes = 4800;
/// \brief A message may wait so long at a link that is choked.
constexpr MilliDuration kLongestDelay{ 1000 };
constexpr std::size_t kMembersSent = 4;
/// \brief Changes of this time are told together.
constexpr MilliDuration kMemberReportPeriod{ 1000 };
/// \brief More members that join or leave at once are told by zone.
constexpr std::size_t kMostMemberLines = 8;
/// \brief With it each of 600 members is heard of several times a second.
constexpr std::size_t kSignsSent = 90;
/// \brief Members that one request may name; their entries fit one datagram.
constexpr std::size_t kMembersAsked = 16;
constexpr MilliDuration kMemberRequestPeriod{ 50 };
/// \brief Members without a view that are told of a first one at once.
constexpr std::size_t kOffers = 8;
constexpr std::size_t kReportsSent = 24;
/// \brief A peer's report counts for so long.
constexpr MilliDuration kReportLife{ 2500 };
/// \brief Members hear no more often that the store confirmed the view.
constexpr MilliDuration kConfirmationPeriod{ 400 };

std::vector<GossipedMember>
tellOf(std::span<const KnownMember* const> members, MilliTime now)
{
  std::vector<GossipedMember> told;
  told.reserve(members.size());
  for (const KnownMember* known : members) {
    told.push_back({ known->member, now - known->heardAt });
  }
  return told;
}

}

FleetController::FleetController(TagBoard& board, ViewController& view)
  : board(board)
  , view(view)
  , members({ board.settings.id,
              board.settings.zone,
              board.settings.advertisedAddress,
              board.settings.incarnation,
              false })
  , askPeersFirst(askPeersFor({ board.settings.isFirstStart,
                                this->isSeed(),
                                board.settings.linkMegabits },
                              board.random))
{
}

template<typename Body>
void
FleetController::send(const Endpoint& to, Body body)
{
  if (this->board.hasView()) {
    this->members.setHasView();
  }
  this->outbox.push_back({ to, { this->members.own(), std::move(body) } });
}

ViewVersions
FleetController::ownView(MilliTime now) const
{
  return ViewVersions{
    this->board.registry.lastChange(),   this->board.routes.version(),
    this->board.routesRevision,          now - this->board.targetsConfirmedAt,
    now - this->board.routesConfirmedAt, now - this->board.registry.lastUnwell()
  };
}

std::vector<TargetReport>
FleetController::nextReports(MilliTime now)
{
  std::vector<TargetReport> reports;
  const std::size_t count = this->board.registry.targets().size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto slot = static_cast<TargetSlot>((this->nextReport + i) % count);
    const TargetLoad& load = this->board.observer.load(slot);
    const bool isDead = this->board.healthState(slot) == HealthState::dead;
    if (load.flows == 0 && load.busy == 0 && !isDead) {
      continue;
    }
    if (reports.size() == internal::kReportsSent) {
      this->nextReport = slot;
      break;
    }
    reports.push_back({ this->board.registry.at(slot).record.number,
                        load.flows,
                        load.busy,
                        load.silentFlows,
                        now - load.progressAt,
                        isDead });
  }
  return reports;
}

FleetHeartbeat
FleetController::heartbeat(std::span<const KnownMember* const> told,
                           MilliTime now)
{
  FleetHeartbeat beat;
  beat.view = this->ownView(now);
  beat.members = internal::tellOf(told, now);
  beat.signs =
    this->members.sampleSigns(internal::kSignsSent, now, this->board.random);
  beat.reports = this->nextReports(now);
  return beat;
}

void
FleetController::sendHeartbeat(const Endpoint& to, MilliTime now)
{
  const auto told =
    this->members.sampleNews(internal::kMembersSent, now, this->board.random);
  this->send(to, this->heartbeat(told, now));
}

void
FleetController::sendOffer(const Endpoint& to, MilliTime now)
{
  auto told = this->members.sampleByView(
    true, internal::kMembersSent, now, this->board.random);
  if (told.empty()) {
    told =
      this->members.sampleLive(internal::kMembersSent, now, this->board.random);
  }
  this->send(to, this->heartbeat(told, now));
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
  this->seekView(now);
  this->offerView(now);
  this->pushView(now);
  for (IncomingTransfers* fetched :
       { &this->fetchedTargets, &this->fetchedRoutes }) {
    for (const auto& [sender, request] : fetched->overdue(now)) {
      this->send(sender, request);
    }
  }
  if (now >= this->nextZoneBeat) {
    this->nextZoneBeat = now + internal::kZoneBeatPeriod;
    for (const KnownMember* peer : this->members.sample(
           true, internal::kZoneBeatPeers, this->board.random)) {
      this->sendHeartbeat(peer->member.address, now);
    }
    this->sumReports(now);
  }
  if (now >= this->nextMemberReport) {
    this->nextMemberReport = now + internal::kMemberReportPeriod;
    this->reportMemberChanges(now);
  }
  if (now >= this->nextFarBeat) {
    this->nextFarBeat = now + internal::kFarBeatPeriod;
    for (const KnownMember* peer : this->members.sample(
           false, internal::kFarBeatPeers, this->board.random)) {
      this->sendHeartbeat(peer->member.address, now);
    }
  }
  if (now >= this->nextSeedBeat) {
    const bool isLonely = this->members.liveCount(now) == 0;
    this->nextSeedBeat =
      now + (isLonely ? internal::kLonelySeedPeriod : internal::kSeedPeriod);
    for (const Endpoint& seed : this->board.settings.seeds) {
      if (seed != this->members.own().address) {
        this->sendHeartbeat(seed, now);
      }
    }
  }
}

std::string
FleetController::encodeUpdate(ViewContent content,
                              std::uint64_t since,
                              MilliTime now) const
{
  ViewUpdate update;
  update.view = this->ownView(now);
  if (content == ViewContent::targets) {
    update.targetsBase = since;
    update.targets = this->board.registry.changesSince(since, update.isFull);
  } else if (this->board.routes.version() > since) {
    update.routes = this->board.routes.changesSince(since);
  }
  return encodeViewUpdate(update);
}

void
FleetController::sendWindow(const Endpoint& to,
                            const std::string& encoded,
                            const ViewRequest& request)
{
  for (ViewPart& part :
       cutWindow(encoded, request.content, request.transfer, request.offset)) {
    this->send(to, std::move(part));
  }
}

void
FleetController::push(ViewContent content, std::uint64_t base, MilliTime now)
{
  std::vector<const KnownMember*> peers =
    this->members.sample(true, internal::kPushPeers, this->board.random);
  if (this->shouldReadStore(now)) {
    const auto far = this->members.oneInEachOtherZone(now, this->board.random);
    peers.insert(peers.end(), far.begin(), far.end());
  }
  const std::string encoded = this->encodeUpdate(content, base, now);
  const bool isSmall = encoded.size() <= internal::kMostPushedBytes;
  const auto transfer = isSmall ? this->served.add(encoded, now) : std::nullopt;
  for (const KnownMember* peer : peers) {
    // Large news are only announced; whoever lacks them fetches them.
    if (transfer) {
      this->sendWindow(
        peer->member.address, encoded, { content, base, *transfer, 0 });
    } else {
      this->sendHeartbeat(peer->member.address, now);
    }
  }
}

FleetController::ViewPoint
FleetController::pushBase(MilliTime now) const
{
  ViewPoint base;
  for (const ViewPoint& point : this->points) {
    if (now - point.at >= internal::kPushOverlap) {
      base = point;
    }
  }
  return base;
}

void
FleetController::notePoint(MilliTime now)
{
  const ViewPoint point{ now,
                         this->board.registry.lastChange(),
                         this->board.routes.version() };
  this->points.push_back(point);
  while (this->points.size() > 1 &&
         now - this->points[1].at >= internal::kPushOverlap) {
    this->points.pop_front();
  }
}

void
FleetController::pushView(MilliTime now)
{
  const std::uint64_t targets = this->board.registry.lastChange();
  const std::uint64_t routes = this->board.routes.version();
  const bool hasNewTargets = targets != this->pushed.targets;
  const bool hasNewRoutes = routes != this->pushed.routes;
  if (!this->board.hasView() || (!hasNewTargets && !hasNewRoutes) ||
      now < this->nextPush) {
    return;
  }
  this->nextPush = now + internal::kPushPeriod;
  const ViewPoint base = this->pushBase(now);
  this->pushed = ViewPoint{ now, targets, routes };
  this->notePoint(now);
  if (base.targets == 0) {
    return;
  }
  if (hasNewTargets) {
    this->push(ViewContent::targets, base.targets, now);
  }
  if (hasNewRoutes) {
    this->push(ViewContent::routes, base.routes, now);
  }
}

void
FleetController::tellConfirmed(MilliTime now)
{
  if (!this->board.hasView()) {
    return;
  }
  const KnownMember* standBy = this->members.standBy(now);
  if (standBy != nullptr) {
    this->sendHeartbeat(standBy->member.address, now);
  }
  if (now < this->nextConfirmation) {
    return;
  }
  this->nextConfirmation = now + internal::kConfirmationPeriod;
  for (const KnownMember* peer :
       this->members.oneInEachOtherZone(now, this->board.random)) {
    this->sendHeartbeat(peer->member.address, now);
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
  situation.isFetching =
    this->fetchedTargets.isFetching() || this->fetchedRoutes.isFetching();
  situation.sinceStart =
    this->startedAt.ms == 0 ? MilliDuration{} : now - this->startedAt;
  situation.askPeersFor = this->askPeersFirst;
  if (this->offeredAt.ms != 0) {
    situation.sinceOffered = now - this->offeredAt;
  }
  situation.role = this->members.role(now);
  situation.rankInZone = this->members.rankInZone(now);
  situation.targetsAge = now - this->board.targetsConfirmedAt;
  situation.routesAge = now - this->board.routesConfirmedAt;
  if (this->behindSince.ms != 0) {
    situation.behindFor = now - this->behindSince;
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
  this->seekView(now);
  this->offerView(now);
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
  this->takeReports(member, body, now);
  this->board.registry.noteUnwell(MilliTime{ now.ms - body.view.unwellAgo.ms });
  this->confirmView(body.view, now);
  this->askIfOlder(body.view, sender.address, now);
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
    this->send(from, std::move(request));
  }
}

void
FleetController::onBody(const MemberRequest& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  const auto keys = std::span(body.keys).first(
    std::min(body.keys.size(), internal::kMembersAsked));
  FleetHeartbeat beat;
  beat.view = this->ownView(now);
  beat.members = internal::tellOf(this->members.findKeys(keys, now), now);
  this->send(sender.address, std::move(beat));
}

void
FleetController::answerStarter(const FleetMember& peer,
                               bool isNew,
                               MilliTime now)
{
  // One without a view can still tell of members, but only once: two that
  // start would answer each other for ever.
  if (!peer.hasView && (this->board.hasView() || isNew)) {
    this->sendOffer(peer.address, now);
  }
}

void
FleetController::seekView(MilliTime now)
{
  const KnownMember* peer = this->members.anyWithView(now, this->board.random);
  if (peer == nullptr || this->board.hasView()) {
    return;
  }
  if (this->offeredAt.ms == 0) {
    this->offeredAt = now;
  }
  if (!this->board.registry.loaded()) {
    this->requestTargets(peer->member.address, now);
  }
  if (!this->board.routes.loaded()) {
    this->requestRoutes(peer->member.address, now);
  }
}

void
FleetController::offerView(MilliTime now)
{
  if (this->hasOffered || !this->board.hasView()) {
    return;
  }
  this->hasOffered = true;
  for (const Endpoint& seed : this->board.settings.seeds) {
    if (seed != this->members.own().address) {
      this->sendOffer(seed, now);
    }
  }
  for (const KnownMember* peer : this->members.sampleByView(
         false, internal::kOffers, now, this->board.random)) {
    this->sendOffer(peer->member.address, now);
  }
}

void
FleetController::requestTargets(const Endpoint& from, MilliTime now)
{
  if (now >= this->nextTargetsRequest && !this->fetchedTargets.isFetching()) {
    this->nextTargetsRequest = now + internal::kRequestPeriod;
    this->send(
      from,
      ViewRequest{
        ViewContent::targets, this->board.registry.lastChange(), 0, 0 });
  }
}

void
FleetController::requestRoutes(const Endpoint& from, MilliTime now)
{
  if (now >= this->nextRoutesRequest && !this->fetchedRoutes.isFetching()) {
    this->nextRoutesRequest = now + internal::kRequestPeriod;
    this->send(
      from,
      ViewRequest{ ViewContent::routes, this->board.routes.version(), 0, 0 });
  }
}

void
FleetController::confirmView(const ViewVersions& peer, MilliTime now)
{
  // What a peer's older or equal view was confirmed by holds for this one. A
  // peer without a view has no age to tell.
  if (peer.targetsRevision > 0 &&
      peer.targetsRevision <= this->board.registry.lastChange()) {
    const MilliTime confirmedAt{ now.ms - peer.targetsAge.ms };
    this->board.targetsConfirmedAt =
      std::max(this->board.targetsConfirmedAt, confirmedAt);
    const MilliTime certainAt{ confirmedAt.ms - internal::kLongestDelay.ms };
    this->board.targetsCertainAt =
      std::max(this->board.targetsCertainAt, certainAt);
  }
  if (peer.routesVersion > 0 &&
      peer.routesVersion <= this->board.routes.version()) {
    this->board.routesConfirmedAt = std::max(
      this->board.routesConfirmedAt, MilliTime{ now.ms - peer.routesAge.ms });
  }
}

void
FleetController::askIfOlder(const ViewVersions& peer,
                            const Endpoint& from,
                            MilliTime now)
{
  const std::uint64_t targets = this->board.registry.lastChange();
  const std::uint64_t routes = this->board.routes.version();
  const bool isBehind =
    peer.targetsRevision > targets || peer.routesVersion > routes;
  if (isBehind && this->behindSince.ms == 0) {
    this->behindSince = now;
  }
  this->newest.targets = std::max(this->newest.targets, peer.targetsRevision);
  this->newest.routes = std::max(this->newest.routes, peer.routesVersion);
  if (targets >= this->newest.targets && routes >= this->newest.routes) {
    this->behindSince = MilliTime{};
  }
  if (peer.targetsRevision > targets) {
    this->requestTargets(from, now);
  }
  if (peer.routesVersion > routes) {
    this->requestRoutes(from, now);
  }
}

void
FleetController::takeReports(KnownMember& member,
                             const FleetHeartbeat& body,
                             MilliTime now)
{
  for (const TargetReport& report : body.reports) {
    member.reports[report.number] = ReceivedReport{ report, now };
    if (report.dead && member.member.zone == this->members.own().zone) {
      this->foundDead.push_back(report.number);
    }
  }
}

void
FleetController::sumReports(MilliTime now)
{
  this->board.zonePeers = this->members.liveInZone(now);
  const std::size_t count = this->board.registry.targets().size();
  for (TargetSlot slot = 0; slot < count; ++slot) {
    TargetLoad& load = this->board.observer.loadFor(slot);
    load.peerFlows = 0;
    load.peerBusy = 0;
    load.flowsAtReport = load.flows;
    load.busyAtReport = load.busy;
  }
  for (auto& [address, known] : this->members.all()) {
    this->addReports(known, now);
  }
}

void
FleetController::addReports(KnownMember& member, MilliTime now)
{
  boost::unordered::erase_if(member.reports, [now](const auto& entry) {
    return now - entry.second.at > internal::kReportLife;
  });
  for (const auto& [number, received] : member.reports) {
    const TargetSlot slot = this->board.registry.findNumber(number);
    if (slot == kNoTargetSlot) {
      continue;
    }
    TargetLoad& load = this->board.observer.loadFor(slot);
    load.peerFlows += received.report.flows;
    load.peerBusy += received.report.busy;
    const MilliTime progress{ received.at.ms -
                              received.report.sinceProgress.ms };
    load.peerProgressAt = std::max(load.peerProgressAt, progress);
  }
}

void
FleetController::onBody(const ViewRequest& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  if (!this->board.hasView()) {
    return;
  }
  ViewRequest request = body;
  if (request.transfer == 0) {
    const auto added = this->served.add(
      this->encodeUpdate(request.content, request.have, now), now);
    if (!added) {
      // Too many fetch from here; the sender learns of other members.
      this->sendOffer(sender.address, now);
      return;
    }
    request.transfer = *added;
  }
  const std::string* encoded =
    this->served.find(request.transfer, request.offset, now);
  if (encoded != nullptr) {
    this->sendWindow(sender.address, *encoded, request);
  }
}

void
FleetController::onBody(const ViewPart& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  IncomingTransfers& fetched = body.content == ViewContent::targets
                                 ? this->fetchedTargets
                                 : this->fetchedRoutes;
  const auto progress = fetched.add(sender.address, body, now);
  if (progress.next) {
    this->send(sender.address, *progress.next);
  }
  if (!progress.whole) {
    return;
  }
  const std::string& encoded = *progress.whole;
  const std::span bytes(reinterpret_cast<const std::uint8_t*>(encoded.data()),
                        encoded.size());
  const auto update = decodeViewUpdate(bytes);
  if (!update) {
    ++this->board.counters.malformedUpdates;
    return;
  }
  this->onUpdate(*update, body.content, sender, now);
}

void
FleetController::onUpdate(const ViewUpdate& update,
                          ViewContent content,
                          const FleetMember& sender,
                          MilliTime now)
{
  const std::uint64_t revision = update.view.targetsRevision;
  const bool isNewer = revision > this->board.registry.lastChange();
  const bool continues =
    !update.isFull && update.targetsBase <= this->board.registry.lastChange();
  if (content == ViewContent::targets && update.isFull && isNewer) {
    this->view.onSnapshot(revision, update.targets, now);
  } else if (content == ViewContent::targets && continues) {
    this->view.onChanges(revision, update.targets, now);
  }
  if (update.routes) {
    this->view.onRouteChanges(*update.routes, now);
    this->board.routesRevision =
      std::max(this->board.routesRevision, update.view.routesRevision);
  }
  this->confirmView(update.view, now);
  this->askIfOlder(update.view, sender.address, now);
}

}
