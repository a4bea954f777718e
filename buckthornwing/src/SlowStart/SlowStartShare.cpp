#include "SlowStartShare.h"

#include <algorithm>
#include <cmath>

namespace buckthornwing {
namespace internal {

/// \brief Limit of the shared flows a second. A higher allowance limits no
/// target.
constexpr double kMaxSharedFlows = 1'000'000;

/// \brief This instance's place among the members that share a target.
struct Place
{
  std::size_t members = 0; ///< that share the target
  std::size_t before = 0;  ///< of these, members before this instance
  bool isIncluded = false; ///< this instance is one of them
};

bool
hasPeerIn(const ActiveMembers& members, ZoneKey zone)
{
  return std::any_of(
    members.peers.begin(),
    members.peers.end(),
    [zone](const ActiveMember& peer) { return peer.zone == zone; });
}

Place
placeOf(const ActiveMembers& members, const ColdTarget& target)
{
  const bool isOwnZone = members.isOwnActive && members.own.zone == target.zone;
  const bool isZoneEmpty = !isOwnZone && !hasPeerIn(members, target.zone);
  Place place;
  place.isIncluded = isOwnZone || (members.isOwnActive && isZoneEmpty);
  place.members = place.isIncluded ? 1 : 0;
  const std::uint64_t own = mixWords(target.key.bits, members.own.key);
  for (const ActiveMember& peer : members.peers) {
    const bool shares = isZoneEmpty || peer.zone == target.zone;
    if (!shares || peer.key == members.own.key) {
      continue;
    }
    const std::uint64_t score = mixWords(target.key.bits, peer.key);
    const bool isBefore =
      score < own || (score == own && peer.key < members.own.key);
    ++place.members;
    place.before += isBefore ? 1 : 0;
  }
  return place;
}

}

std::uint32_t
sharedFlows(double allowance)
{
  const double half = std::floor(allowance / 2);
  return static_cast<std::uint32_t>(
    std::clamp(half, 0.0, internal::kMaxSharedFlows));
}

std::uint32_t
slowStartShare(const ActiveMembers& members, const ColdTarget& target)
{
  const std::size_t flows = sharedFlows(target.allowance);
  const internal::Place place = internal::placeOf(members, target);
  if (!place.isIncluded) {
    return 0;
  }
  const std::size_t extra = place.before < flows % place.members ? 1 : 0;
  return static_cast<std::uint32_t>(flows / place.members + extra);
}

}
