#include "MembershipWatch.h"

namespace buckthornwing {
namespace internal {

/// \brief Time without an update after which the members are not believed; a
/// tick is due every 100 ms.
constexpr MilliDuration kMaxUpdateGap{ 1000 };
/// \brief Time for which the largest number of members is remembered after it
/// was last seen. At least this long, no small part of a divided fleet acts as
/// if it were the whole.
constexpr MilliDuration kLargestCountLifetime{ 300000 };

}

void
MembershipWatch::update(const ActiveMembers& newMembers, MilliTime now)
{
  if (!this->isCurrent(now) || newMembers != this->present) {
    this->present = newMembers;
    this->changedAt = now;
    ++this->changes;
  }
  this->updatedAt = now;
  const std::size_t count = newMembers.count();
  const bool isOutdated =
    now - this->largestAt > internal::kLargestCountLifetime;
  if (count >= this->largest || isOutdated) {
    this->largest = count;
    this->largestAt = now;
  }
}

bool
MembershipWatch::isCurrent(MilliTime now) const
{
  return this->updatedAt && now - *this->updatedAt <= internal::kMaxUpdateGap;
}

bool
MembershipWatch::seesEnough() const
{
  const bool isAlone =
    this->present.expectsPeers && this->present.peers.empty();
  return this->present.isOwnActive && !isAlone &&
         2 * this->present.count() >= this->largest;
}

}
