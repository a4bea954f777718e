#include "Dissemination.h"

#include <bit>

namespace buckthornwing {
namespace internal {

/// \brief Updates that one probe carries at most.
constexpr std::size_t kMostUpdates = 6;

/// \returns how often an update is sent in a fleet of this size.
unsigned
retransmissionsFor(std::size_t memberCount)
{
  constexpr unsigned kPerDoubling = 3;
  return kPerDoubling * static_cast<unsigned>(std::bit_width(memberCount + 1));
}

}

MemberUpdate
describeMember(const Member& member)
{
  return MemberUpdate{ member.id,       member.zone,  member.address,
                       member.liveness, member.phase, member.incarnation };
}

Dissemination::Dissemination(const Blackboard& board)
  : board(board)
{
}

void
Dissemination::spread(MemberIndex member)
{
  this->timesLeft[member] =
    internal::retransmissionsFor(this->board.members.size());
}

std::vector<MemberUpdate>
Dissemination::take(MemberIndex to)
{
  std::vector<MemberUpdate> updates;
  const Liveness liveness = this->board.members[to].liveness;
  if (liveness != Liveness::alive) {
    updates.push_back(describeMember(this->board.self()));
  }
  if (liveness == Liveness::dead) {
    updates.push_back(describeMember(this->board.members[to]));
  }
  auto next = this->timesLeft.begin();
  while (next != this->timesLeft.end() &&
         updates.size() < internal::kMostUpdates) {
    if (next->first != to) {
      updates.push_back(describeMember(this->board.members[next->first]));
    }
    --next->second;
    next = next->second == 0 ? this->timesLeft.erase(next) : std::next(next);
  }
  return updates;
}

}
