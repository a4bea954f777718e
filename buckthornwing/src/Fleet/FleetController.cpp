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
constexpr std::size_t kMembersTold = 8;
constexpr std::size_t kReportsTold = 40;
/// \brief A peer's report counts for so long.
constexpr MilliDuration kReportLife{ 2500 };
/// \brief A view older than this makes more instances read the store.
constexpr MilliDuration kOldView{ 2000 };
/// \brief Those join in one after the other, so that the first may be enough.
constexpr std::int64_t kJoinInterval = 150;

}

FleetController::FleetController(TagBoard& board, ViewController& view)
  : board(board)
  , view(view)
  , members({ board.settings.id,
              board.settings.zone,
              board.settings.peerAddress,
              board.settings.incarnation,
              false })
{
}

template<typename Body>
void
FleetController::send(const Endpoint& to, Body body)
{
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
    if (reports.size() == internal::kReportsTold) {
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
FleetController::heartbeat(MilliTime now)
{
  FleetHeartbeat beat;
  beat.view = this->ownView(now);
  for (const auto& [address, known] : this->members.all()) {
    if (this->members.isLive(known, now)) {
      beat.members.push_back({ known.member, now - known.heardAt });
    }
  }
  for (std::size_t i = 0; i + 1 < beat.members.size(); ++i) {
    const std::size_t rest = beat.members.size() - i;
    std::swap(beat.members[i],
              beat.members[i + this->board.random.below(rest)]);
  }
  beat.members.resize(std::min(beat.members.size(), internal::kMembersTold));
  beat.reports = this->nextReports(now);
  return beat;
}

void
FleetController::sendHeartbeat(const Endpoint& to, MilliTime now)
{
  this->send(to, this->heartbeat(now));
}

void
FleetController::tick(MilliTime now)
{
  this->members.forgetSilent(now);
  this->pushView(now);
  if (now >= this->nextZoneBeat) {
    this->nextZoneBeat = now + internal::kZoneBeatPeriod;
    for (const KnownMember* peer : this->members.sample(
           true, internal::kZoneBeatPeers, this->board.random)) {
      this->sendHeartbeat(peer->member.address, now);
    }
    this->sumReports(now);
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
FleetController::encodeUpdate(std::uint64_t targetsSince,
                              std::uint64_t routesSince,
                              MilliTime now) const
{
  ViewUpdate update;
  update.view = this->ownView(now);
  update.targetsBase = targetsSince;
  update.targets =
    this->board.registry.changesSince(targetsSince, update.isFull);
  if (this->board.routes.version() > routesSince) {
    update.routes = this->board.routes.changesSince(routesSince);
  }
  return encodeViewUpdate(update);
}

void
FleetController::sendUpdate(const Endpoint& to, const std::string& encoded)
{
  for (ViewPart& part : cutIntoParts(encoded, this->nextTransfer)) {
    this->send(to, std::move(part));
  }
  ++this->nextTransfer;
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
  const bool isNews =
    targets != this->pushed.targets || routes != this->pushed.routes;
  if (!this->board.hasView() || !isNews || now < this->nextPush) {
    return;
  }
  this->nextPush = now + internal::kPushPeriod;
  const ViewPoint base = this->pushBase(now);
  this->pushed = ViewPoint{ now, targets, routes };
  this->notePoint(now);
  if (base.targets == 0) {
    return;
  }
  const std::string encoded =
    this->encodeUpdate(base.targets, base.routes, now);
  for (const KnownMember* peer :
       this->members.sample(true, internal::kPushPeers, this->board.random)) {
    this->sendUpdate(peer->member.address, encoded);
  }
  if (!this->shouldReadStore(now)) {
    return;
  }
  for (const KnownMember* peer :
       this->members.oneInEachOtherZone(now, this->board.random)) {
    this->sendUpdate(peer->member.address, encoded);
  }
}

bool
FleetController::shouldReadStore(MilliTime now) const
{
  if (!this->board.hasView()) {
    return true;
  }
  const std::size_t rank = this->members.rankInZone(now);
  const MilliTime oldest =
    std::min(this->board.targetsConfirmedAt, this->board.routesConfirmedAt);
  const std::int64_t delay =
    static_cast<std::int64_t>(rank) * internal::kJoinInterval;
  return rank == 0 ||
         now - oldest > MilliDuration{ internal::kOldView.ms + delay };
}

void
FleetController::onMessage(const FleetMessage& message, MilliTime now)
{
  KnownMember* member = this->members.hear(message.sender, now);
  if (member == nullptr) {
    return;
  }
  std::visit([&](const auto& body) { this->onBody(body, message.sender, now); },
             message.body);
}

void
FleetController::onBody(const FleetHeartbeat& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  KnownMember& member = this->members.all()[sender.address];
  member.view = body.view;
  for (const MemberHearsay& other : body.members) {
    this->members.hearOf(other, now);
  }
  this->takeReports(member, body, now);
  this->board.registry.noteUnwell(MilliTime{ now.ms - body.view.unwellAgo.ms });
  this->confirmView(body.view, now);
  this->askIfOlder(body.view, sender.address, now);
}

void
FleetController::confirmView(const ViewVersions& peer, MilliTime now)
{
  // What a peer's older or equal view was confirmed by holds for this one.
  if (peer.targetsRevision <= this->board.registry.lastChange()) {
    this->board.targetsConfirmedAt = std::max(
      this->board.targetsConfirmedAt, MilliTime{ now.ms - peer.targetsAge.ms });
  }
  if (peer.routesVersion <= this->board.routes.version()) {
    this->board.routesConfirmedAt = std::max(
      this->board.routesConfirmedAt, MilliTime{ now.ms - peer.routesAge.ms });
  }
}

void
FleetController::askIfOlder(const ViewVersions& peer,
                            const Endpoint& from,
                            MilliTime now)
{
  const bool isOlder =
    peer.targetsRevision > this->board.registry.lastChange() ||
    peer.routesVersion > this->board.routes.version();
  if (!isOlder || now < this->nextRequest) {
    return;
  }
  this->nextRequest = now + internal::kRequestPeriod;
  this->send(from,
             ViewRequest{ this->board.registry.lastChange(),
                          this->board.routes.version() });
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
  const auto targets = this->board.registry.targets();
  for (TargetSlot slot = 0; slot < targets.size(); ++slot) {
    TargetLoad& load = this->board.observer.loadFor(slot);
    load.peerFlows = 0;
    load.peerBusy = 0;
    if (!targets[slot].used) {
      continue;
    }
    for (const auto& [address, known] : this->members.all()) {
      const auto found = known.reports.find(targets[slot].record.number);
      if (found == known.reports.end() ||
          now - found->second.at > internal::kReportLife) {
        continue;
      }
      const TargetReport& report = found->second.report;
      load.peerFlows += report.flows;
      load.peerBusy += report.busy;
      const MilliTime progress{ found->second.at.ms - report.sinceProgress.ms };
      load.peerProgressAt = std::max(load.peerProgressAt, progress);
    }
  }
}

void
FleetController::onBody(const ViewRequest& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  if (this->board.hasView()) {
    this->sendUpdate(
      sender.address,
      this->encodeUpdate(body.targetsRevision, body.routesVersion, now));
  }
}

void
FleetController::onBody(const ViewPart& body,
                        const FleetMember& sender,
                        MilliTime now)
{
  const auto encoded = this->transfers.add(sender.address, body);
  if (!encoded) {
    return;
  }
  const std::span bytes(reinterpret_cast<const std::uint8_t*>(encoded->data()),
                        encoded->size());
  const auto update = decodeViewUpdate(bytes);
  if (update) {
    this->onUpdate(*update, sender, now);
  }
}

void
FleetController::onUpdate(const ViewUpdate& update,
                          const FleetMember& sender,
                          MilliTime now)
{
  const std::uint64_t revision = update.view.targetsRevision;
  if (update.isFull) {
    this->view.onSnapshot(revision, update.targets, now);
  } else if (update.targetsBase <= this->board.registry.lastChange()) {
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
