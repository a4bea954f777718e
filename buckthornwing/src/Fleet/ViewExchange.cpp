#include "ViewExchange.h"

#include "FleetCodec.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

constexpr MilliDuration kRequestPeriod{ 150 };
/// \brief Minimum time between requests while this instance has no view.
constexpr MilliDuration kFirstViewRequestPeriod{ 50 };
/// \brief Members that changes are sent to at once; each of them sends the
/// changes on.
constexpr std::size_t kPushPeers = 3;
constexpr MilliDuration kPushPeriod{ 100 };
/// \brief A push contains all changes of at least this time, so that members
/// which missed earlier pushes receive them.
constexpr MilliDuration kPushOverlap{ 800 };
constexpr std::size_t kMaxPushedBytes = 4800;
/// \brief Maximum delay of a message in the queue of a congested link.
constexpr MilliDuration kMaxMessageDelay{ 1000 };
/// \brief Number of members without a view that are notified when this instance
/// receives its first view.
constexpr std::size_t kOfferPeers = 8;

}

namespace internal {

/// \returns the content and the size of an update, for the log.
std::string
describeUpdate(ViewContent content, std::size_t bytes)
{
  const char* name = content == ViewContent::targets ? "targets, " : "routes, ";
  return name + std::to_string(bytes) + " bytes";
}

}

ViewExchange::ViewExchange(TagBlackboard& board,
                           ViewController& view,
                           FleetMembers& members,
                           FleetMessenger& messenger)
  : board(board)
  , view(view)
  , members(members)
  , messenger(messenger)
{
}

void
ViewExchange::tick(MilliTime now)
{
  this->requestFirstView(now);
  this->announceFirstView(now);
  for (IncomingTransfers* fetched :
       { &this->fetchedTargets, &this->fetchedRoutes }) {
    for (const auto& [sender, request] : fetched->repeatRequests(now)) {
      this->messenger.send(sender, request);
    }
  }
}

void
ViewExchange::requestFirstView(MilliTime now)
{
  if (!this->needsFirstView()) {
    return;
  }
  const KnownMember* peer =
    this->members.randomMemberWithView(now, this->board.random);
  if (peer == nullptr) {
    return;
  }
  if (this->offeredAt.ms == 0) {
    this->offeredAt = now;
  }
  if (!this->board.registry.loaded()) {
    this->requestTargets(peer->member.address, now);
  }
  // The evacuations come with each update and heartbeat.
  if (!this->board.routes.loaded()) {
    this->requestRoutes(peer->member.address, now);
  }
}

void
ViewExchange::announceFirstView(MilliTime now)
{
  if (this->hasOffered || !this->board.hasView()) {
    return;
  }
  this->hasOffered = true;
  for (const Endpoint& seed : this->board.settings.seeds) {
    if (seed != this->members.own().address) {
      this->messenger.sendOffer(seed, now);
    }
  }
  for (const KnownMember* peer : this->members.sampleWithoutView(
         internal::kOfferPeers, now, this->board.random)) {
    this->messenger.sendOffer(peer->member.address, now);
  }
}

MilliDuration
ViewExchange::requestPeriod() const
{
  return this->board.hasView() ? internal::kRequestPeriod
                               : internal::kFirstViewRequestPeriod;
}

void
ViewExchange::requestTargets(const Endpoint& from, MilliTime now)
{
  if (now >= this->nextTargetsRequest && !this->fetchedTargets.isFetching()) {
    this->nextTargetsRequest = now + this->requestPeriod();
    const StorePosition position = this->needsFullTargets
                                     ? StorePosition{}
                                     : this->board.registry.position();
    this->messenger.send(
      from,
      ViewRequest{
        ViewContent::targets, position.revision, position.era, 0, 0 });
  }
}

void
ViewExchange::requestRoutes(const Endpoint& from, MilliTime now)
{
  if (now >= this->nextRoutesRequest && !this->fetchedRoutes.isFetching()) {
    this->nextRoutesRequest = now + this->requestPeriod();
    this->messenger.send(
      from,
      ViewRequest{
        ViewContent::routes, this->board.routes.version(), {}, 0, 0 });
  }
}

void
ViewExchange::mergeConfirmations(const ViewVersions& peer, MilliTime now)
{
  this->mergeEra(peer);
  if (peer.evacuations) {
    this->view.onPeerEvacuations(*peer.evacuations, now);
  }
  this->mergeTargetsConfirmation(peer, now);
  this->mergeRoutesConfirmation(peer, now);
  const MilliTime failedAt{ now.ms - peer.sinceStoreFailure.ms };
  if (this->storeFailures.accept(peer.storeFailure) &&
      failedAt > this->board.registry.lastStoreFailure()) {
    this->board.registry.recordStoreFailure(failedAt);
    this->board.storeFailure = peer.storeFailure;
  }
}

void
ViewExchange::mergeEra(const ViewVersions& peer)
{
  std::optional<StoreEra> evacuationsEra;
  if (peer.evacuations) {
    evacuationsEra = peer.evacuations->asOf.era;
  }
  for (const std::optional<StoreEra>& named :
       { peer.targetsEra, peer.routesEra, evacuationsEra }) {
    if (named && *named > this->board.knownEra()) {
      this->board.storeEra = named;
    }
  }
}

void
ViewExchange::mergeTargetsConfirmation(const ViewVersions& peer, MilliTime now)
{
  // A confirmation of a view that is not newer also confirms this
  // instance's view, unless it was given in another era.
  const StorePosition own = this->board.registry.position();
  const StorePosition confirmed = this->targetsPositionOf(peer);
  if (confirmed.era != own.era || confirmed > own ||
      !this->targetsConfirmations.accept(peer.targetsConfirmation)) {
    return;
  }
  const MilliTime confirmedAt{ now.ms - peer.targetsAge.ms };
  if (confirmedAt <= this->board.targetsConfirmedAt) {
    return;
  }
  this->board.targetsConfirmedAt = confirmedAt;
  this->board.targetsConfirmation = peer.targetsConfirmation;
  const MilliTime completeAt = confirmedAt - internal::kMaxMessageDelay;
  this->board.targetsCompleteAt =
    std::max(this->board.targetsCompleteAt, completeAt);
}

void
ViewExchange::mergeRoutesConfirmation(const ViewVersions& peer, MilliTime now)
{
  const StoreEra era = this->eraOf(peer.routesEra);
  const bool isOfEarlierEra =
    this->board.routesPosition && era < this->board.routesPosition->era;
  if (peer.routesVersion > this->board.routes.version() || isOfEarlierEra) {
    return;
  }
  const bool holdsSameRoutes =
    this->board.routes.loaded() &&
    peer.routesVersion == this->board.routes.version();
  if (peer.routesEra && holdsSameRoutes) {
    this->board.advanceRoutes({ era, peer.routesRevision });
  }
  const MilliTime confirmedAt{ now.ms - peer.routesAge.ms };
  // A peer that holds older evacuations has the confirmation of its routes from
  // one that doesn't know evacuations.
  const bool confirmsEvacuations =
    peer.evacuations &&
    peer.evacuations->asOf >= StorePosition{ era, peer.routesRevision };
  if (confirmsEvacuations &&
      this->evacuationsConfirmations.accept(peer.routesConfirmation)) {
    this->board.evacuationsConfirmedAt =
      std::max(this->board.evacuationsConfirmedAt, confirmedAt);
  }
  if (!this->routesConfirmations.accept(peer.routesConfirmation)) {
    return;
  }
  if (confirmedAt > this->board.routesConfirmedAt) {
    this->board.routesConfirmedAt = confirmedAt;
    this->board.routesConfirmation = peer.routesConfirmation;
    const MilliTime completeAt = confirmedAt - internal::kMaxMessageDelay;
    this->board.routesCompleteAt =
      std::max(this->board.routesCompleteAt, completeAt);
  }
}

void
ViewExchange::requestIfNewer(const ViewVersions& peer,
                             const Endpoint& from,
                             MilliTime now)
{
  const StorePosition targets = this->board.registry.position();
  const std::uint64_t routes = this->board.routes.version();
  const StorePosition peerTargets = this->targetsPositionOf(peer);
  const bool isBehind = peerTargets > targets || peer.routesVersion > routes;
  if (isBehind && this->newerAtPeersSince.ms == 0) {
    this->newerAtPeersSince = now;
  }
  this->newestAtPeers.targets =
    std::max(this->newestAtPeers.targets, peerTargets);
  this->newestAtPeers.routes =
    std::max(this->newestAtPeers.routes, peer.routesVersion);
  if (targets >= this->newestAtPeers.targets &&
      routes >= this->newestAtPeers.routes) {
    this->newerAtPeersSince = MilliTime{};
  }
  if (this->needsFirstView() && this->members.knowsLargerSource(from, now)) {
    return;
  }
  if (peerTargets > targets) {
    this->requestTargets(from, now);
  }
  if (peer.routesVersion > routes) {
    this->requestRoutes(from, now);
  }
}

std::string
ViewExchange::encodeTargets(const std::optional<StorePosition>& since,
                            MilliTime now) const
{
  ViewUpdate update;
  update.view = this->messenger.ownView(now);
  update.targets = this->board.registry.changesSince(since, update.isFull, now);
  if (!update.isFull) {
    update.targetsBase = since->revision;
    update.unchangedDigest = this->board.registry.digest(*since);
  }
  return encodeViewUpdate(update);
}

std::string
ViewExchange::encodeRoutes(std::uint64_t since, MilliTime now) const
{
  ViewUpdate update;
  update.view = this->messenger.ownView(now);
  if (this->board.routes.version() > since) {
    update.routes = this->board.routes.changesSince(since);
  }
  return encodeViewUpdate(update);
}

std::string
ViewExchange::encodeRequested(const ViewRequest& request, MilliTime now) const
{
  if (request.content == ViewContent::routes) {
    return this->encodeRoutes(request.have, now);
  }
  std::optional<StorePosition> since;
  if (request.have != 0) {
    since = StorePosition{ this->eraOf(request.era), request.have };
  }
  return this->encodeTargets(since, now);
}

void
ViewExchange::sendWindow(const Endpoint& to,
                         const std::string& encoded,
                         const ViewRequest& request)
{
  for (ViewPart& part : splitWindow(
         encoded, request.content, request.transfer, request.offset)) {
    this->messenger.send(to, std::move(part));
  }
}

std::vector<const KnownMember*>
ViewExchange::pushPeers(bool isReading, MilliTime now)
{
  std::vector<const KnownMember*> peers =
    this->members.sample(true, internal::kPushPeers, this->board.random);
  if (isReading && this->board.settings.policy.sendsChangesToZones) {
    const auto far = this->members.sampleOtherZones(now, this->board.random);
    peers.insert(peers.end(), far.begin(), far.end());
  }
  return peers;
}

void
ViewExchange::pushUpdate(ViewContent content,
                         const std::string& encoded,
                         bool isReading,
                         MilliTime now)
{
  const auto peers = this->pushPeers(isReading, now);
  const bool isSmall = encoded.size() <= internal::kMaxPushedBytes;
  const auto transfer = isSmall ? this->served.add(encoded, now) : std::nullopt;
  for (const KnownMember* peer : peers) {
    // Large changes are only announced; members that lack them request them.
    if (transfer) {
      this->sendWindow(
        peer->member.address, encoded, { content, 0, {}, *transfer, 0 });
    } else {
      this->messenger.sendHeartbeat(peer->member.address, now);
    }
  }
}

std::optional<ViewExchange::ViewPosition>
ViewExchange::pushBase(MilliTime now) const
{
  std::optional<ViewPosition> base;
  for (const ViewPosition& point : this->pushHistory) {
    if (now - point.at >= internal::kPushOverlap) {
      base = point;
    }
  }
  return base;
}

void
ViewExchange::recordPush(MilliTime now)
{
  const ViewPosition point{ now,
                            this->board.registry.contentPosition(),
                            this->board.routes.version() };
  this->pushHistory.push_back(point);
  while (this->pushHistory.size() > 1 &&
         now - this->pushHistory[1].at >= internal::kPushOverlap) {
    this->pushHistory.pop_front();
  }
}

void
ViewExchange::pushEvacuations(bool isReading, MilliTime now)
{
  const auto zones = this->board.evacuations.zones();
  if (std::equal(zones.begin(),
                 zones.end(),
                 this->pushedEvacuations.begin(),
                 this->pushedEvacuations.end())) {
    return;
  }
  this->pushedEvacuations.assign(zones.begin(), zones.end());
  for (const KnownMember* peer : this->pushPeers(isReading, now)) {
    this->messenger.sendHeartbeat(peer->member.address, now);
  }
}

void
ViewExchange::push(bool isReading, MilliTime now)
{
  if (this->board.hasView()) {
    this->pushEvacuations(isReading, now);
  }
  const StorePosition targets = this->board.registry.contentPosition();
  const std::uint64_t routes = this->board.routes.version();
  const bool hasNewTargets = targets != this->pushed.targets;
  const bool hasNewRoutes = routes != this->pushed.routes;
  if (!this->board.hasView() || (!hasNewTargets && !hasNewRoutes) ||
      now < this->nextPush) {
    return;
  }
  this->nextPush = now + internal::kPushPeriod;
  const std::optional<ViewPosition> base = this->pushBase(now);
  this->pushed = ViewPosition{ now, targets, routes };
  this->recordPush(now);
  if (!base) {
    return;
  }
  if (hasNewTargets) {
    this->pushUpdate(ViewContent::targets,
                     this->encodeTargets(base->targets, now),
                     isReading,
                     now);
  }
  if (hasNewRoutes) {
    this->pushUpdate(ViewContent::routes,
                     this->encodeRoutes(base->routes, now),
                     isReading,
                     now);
  }
}

void
ViewExchange::onRequest(const ViewRequest& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  if (!this->board.hasView()) {
    return;
  }
  ViewRequest request = body;
  if (request.transfer == 0) {
    const auto added =
      this->served.add(this->encodeRequested(request, now), now);
    if (!added) {
      // Too many transfers are in progress; the reply names other members that
      // have a view.
      this->messenger.sendOffer(sender.address, now);
      return;
    }
    request.transfer = *added;
    this->reportServed(request, sender, now);
  }
  const std::string* encoded =
    this->served.find(request.transfer, request.offset, now);
  if (encoded != nullptr) {
    this->sendWindow(sender.address, *encoded, request);
  }
}

void
ViewExchange::reportServed(const ViewRequest& request,
                           const FleetMember& receiver,
                           MilliTime now)
{
  const std::string* encoded =
    this->served.find(request.transfer, request.offset, now);
  if (encoded != nullptr && encoded->size() > kViewWindowBytes) {
    this->board.events.push_back(
      { TagEventKind::viewServed,
        receiver.id,
        0,
        0,
        internal::describeUpdate(request.content, encoded->size()) });
  }
}

void
ViewExchange::onPart(const ViewPart& body,
                     const FleetMember& sender,
                     MilliTime now)
{
  IncomingTransfers& fetched = body.content == ViewContent::targets
                                 ? this->fetchedTargets
                                 : this->fetchedRoutes;
  const auto progress = fetched.add(sender.address, body, now);
  if (progress.next) {
    this->messenger.send(sender.address, *progress.next);
  }
  if (!progress.whole) {
    return;
  }
  const std::string& encoded = *progress.whole;
  if (encoded.size() > kViewWindowBytes) {
    this->board.events.push_back(
      { TagEventKind::viewFetched,
        sender.id,
        0,
        progress.duration.ms,
        internal::describeUpdate(body.content, encoded.size()) });
  }
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
ViewExchange::onUpdate(const ViewUpdate& update,
                       ViewContent content,
                       const FleetMember& sender,
                       MilliTime now)
{
  this->mergeEra(update.view);
  if (content == ViewContent::targets) {
    this->onTargetsUpdate(update, now);
  } else if (update.routes) {
    this->onRoutesUpdate(update, now);
  }
  this->mergeConfirmations(update.view, now);
  this->requestIfNewer(update.view, sender.address, now);
}

void
ViewExchange::onTargetsUpdate(const ViewUpdate& update, MilliTime now)
{
  const StorePosition asOf = this->targetsPositionOf(update.view);
  std::vector<TargetChange> targets = update.targets;
  for (TargetChange& change : targets) {
    change.version.era = asOf.era;
  }
  if (!update.isFull) {
    const StorePosition base{ asOf.era, update.targetsBase };
    const TargetDelta delta{ base, asOf, targets, update.unchangedDigest };
    this->needsFullTargets = !this->board.registry.agreesWith(delta);
    if (!this->needsFullTargets) {
      this->view.onDelta(delta, now);
    }
  } else if (!this->board.registry.loaded() ||
             asOf > this->board.registry.position()) {
    this->needsFullTargets = false;
    this->view.onListing({ asOf, targets }, now);
  }
}

void
ViewExchange::onRoutesUpdate(const ViewUpdate& update, MilliTime now)
{
  std::optional<StorePosition> asOf;
  if (update.view.routesEra) {
    asOf = { *update.view.routesEra, update.view.routesRevision };
  }
  this->view.onRouteChanges(*update.routes, asOf, now);
}

}
