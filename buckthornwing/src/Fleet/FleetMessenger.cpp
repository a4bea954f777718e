#include "FleetMessenger.h"

namespace buckthornwing {
namespace internal {

constexpr std::size_t kMembersSent = 4;
/// \brief With it each of 600 members is heard of several times a second.
constexpr std::size_t kSignsSent = 90;

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

FleetMessenger::FleetMessenger(TagBoard& board,
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
  view.targetsRevision = this->board.registry.lastChange();
  view.routesVersion = this->board.routes.version();
  view.routesRevision = this->board.routesRevision;
  view.targetsAge = now - this->board.targetsConfirmedAt;
  view.routesAge = now - this->board.routesConfirmedAt;
  view.unwellAgo = now - this->board.registry.lastUnwell();
  view.targetsConfirmation = this->board.targetsConfirmation;
  view.routesConfirmation = this->board.routesConfirmation;
  view.storeFailure = this->board.storeFailure;
  return view;
}

FleetHeartbeat
FleetMessenger::heartbeat(std::span<const KnownMember* const> told,
                          MilliTime now)
{
  FleetHeartbeat beat;
  beat.view = this->ownView(now);
  beat.members = internal::tellOf(told, now);
  beat.signs =
    this->members.sampleSigns(internal::kSignsSent, now, this->board.random);
  beat.reports = this->reports.next(now);
  return beat;
}

void
FleetMessenger::sendHeartbeat(const Endpoint& to, MilliTime now)
{
  const auto told =
    this->members.sampleNews(internal::kMembersSent, now, this->board.random);
  this->send(to, this->heartbeat(told, now));
}

void
FleetMessenger::sendOffer(const Endpoint& to, MilliTime now)
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
FleetMessenger::sendMembers(const Endpoint& to,
                            std::span<const std::uint32_t> keys,
                            MilliTime now)
{
  FleetHeartbeat beat;
  beat.view = this->ownView(now);
  beat.members = internal::tellOf(this->members.findKeys(keys, now), now);
  this->send(to, std::move(beat));
}

}
