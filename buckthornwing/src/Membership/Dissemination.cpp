#include "Dissemination.h"

#include <bit>

namespace buckthornwing {
namespace internal {

/// \brief Maximum number of updates in one probe.
constexpr std::size_t kMaxUpdatesPerProbe = 6;

/// \returns the number of probes that carry an update in a fleet of this size.
unsigned
sendCountFor(std::size_t memberCount)
{
  constexpr unsigned kSendsPerDoubling = 3;
  return kSendsPerDoubling *
         static_cast<unsigned>(std::bit_width(memberCount + 1));
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
Dissemination::enqueue(MemberIndex member)
{
  this->remainingSends[member] =
    internal::sendCountFor(this->board.members.size());
}

std::vector<MemberUpdate>
Dissemination::takeUpdates(MemberIndex to)
{
  std::vector<MemberUpdate> updates;
  const Liveness liveness = this->board.members[to].liveness;
  if (liveness != Liveness::alive) {
    updates.push_back(describeMember(this->board.self()));
  }
  if (liveness == Liveness::dead) {
    updates.push_back(describeMember(this->board.members[to]));
  }
  auto next = this->remainingSends.begin();
  while (next != this->remainingSends.end() &&
         updates.size() < internal::kMaxUpdatesPerProbe) {
    if (next->first != to) {
      updates.push_back(describeMember(this->board.members[next->first]));
    }
    --next->second;
    next =
      next->second == 0 ? this->remainingSends.erase(next) : std::next(next);
  }
  return updates;
}

}
