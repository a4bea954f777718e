#include "FleetMessenger.h"

namespace buckthornwing {
namespace internal {

constexpr std::size_t kMembersPerHeartbeat = 4;
/// \brief Liveness entries in a heartbeat. With 90 of them, an instance
/// receives the liveness of each of 600 members several times a second.
constexpr std::size_t kLivenessPerHeartbeat = 90;

std::vector<GossipedMember>
toGossip(std::span<const KnownMember* const> members, MilliTime now)
{
  std::vector<GossipedMember> gossiped;
  gossiped.reserve(members.size());
  for (const KnownMember* known : members) {
    gossiped.push_back({ known->member, now - known->heardAt });
  }
  return gossiped;
}

}

FleetMessenger::FleetMessenger(TagBlackboard& board,
                               FleetMembers& members,
                               LoadReports& reports)
  : board(board)
  , members(members)
  , reports(reports)
{
}

ViewVersions
FleetMessenger::ownView(MilliTime now) const
{
  ViewVersions view;
  const StorePosition targets = this->board.registry.contentPosition();
  const StorePosition routes =
    this->board.routesPosition.value_or(StorePosition{});
  view.targetsRevision = targets.revision;
  view.targetsEra = targets.era;
  view.routesVersion = this->board.routes.version();
  view.routesRevision = routes.revision;
  view.routesEra = routes.era;
  view.targetsAge = now - this->board.targetsConfirmedAt;
  view.routesAge = now - this->board.routesConfirmedAt;
  view.sinceStoreFailure = now - this->board.registry.lastStoreFailure();
  view.targetsConfirmation = this->board.targetsConfirmation;
  view.routesConfirmation = this->board.routesConfirmation;
  view.storeFailure = this->board.storeFailure;
  view.evacuations = this->board.evacuations.list();
  return view;
}

FleetHeartbeat
FleetMessenger::buildHeartbeat(std::span<const KnownMember* const> gossiped,
                               MilliTime now)
{
  FleetHeartbeat heartbeat;
  heartbeat.view = this->ownView(now);
  heartbeat.members = internal::toGossip(gossiped, now);
  heartbeat.liveness = this->members.sampleLiveness(
    internal::kLivenessPerHeartbeat, now, this->board.random);
  return heartbeat;
}

void
FleetMessenger::sendHeartbeat(const Endpoint& to, MilliTime now)
{
  const auto gossiped = this->members.sampleForGossip(
    internal::kMembersPerHeartbeat, now, this->board.random);
  FleetHeartbeat heartbeat = this->buildHeartbeat(gossiped, now);
  heartbeat.reports = this->reportsFor(to, now);
  this->send(to, std::move(heartbeat));
}

std::vector<TargetReport>
FleetMessenger::reportsFor(const Endpoint& to, MilliTime now)
{
  const KnownMember* member = this->members.find(to);
  const std::string& ownZone = this->board.settings.zone;
  const bool isOfOtherZone =
    member != nullptr && member->member.zone != ownZone;
  return isOfOtherZone && this->board.settings.policy.sumsZones
           ? this->reports.nextZoneReports(member->member.zone, now)
           : this->reports.nextReports(now);
}

void
FleetMessenger::sendOffer(const Endpoint& to, MilliTime now)
{
  auto gossiped = this->members.sampleWithView(
    internal::kMembersPerHeartbeat, now, this->board.random);
  if (gossiped.empty()) {
    gossiped = this->members.sampleLive(
      internal::kMembersPerHeartbeat, now, this->board.random);
  }
  FleetHeartbeat heartbeat = this->buildHeartbeat(gossiped, now);
  heartbeat.reports = this->reports.nextReports(now);
  this->send(to, std::move(heartbeat));
}

void
FleetMessenger::sendMembers(const Endpoint& to,
                            std::span<const std::uint32_t> keys,
                            MilliTime now)
{
  FleetHeartbeat heartbeat;
  heartbeat.view = this->ownView(now);
  heartbeat.members =
    internal::toGossip(this->members.findKeys(keys, now), now);
  this->send(to, std::move(heartbeat));
}

}
