#ifndef BUCKTHORNWING_MEMBERSHIP_WATCH_H
#define BUCKTHORNWING_MEMBERSHIP_WATCH_H

#include "../Core/MilliTime.h"
#include "ActiveMembers.h"

#include <optional>

namespace buckthornwing {

/// \brief Follows the active members, and tells how long they have been the
/// same and whether this instance sees enough of them to act on them.
class MembershipWatch
{
public:
  /// \brief Takes over the present members; called with each tick.
  void update(const ActiveMembers& newMembers, MilliTime now);

  /// \returns whether the members were updated just now. They were not if the
  /// process has been paused.
  bool isCurrent(MilliTime now) const;

  /// \returns whether this instance is active and sees at least half of the
  /// members that it has seen lately, and a peer if it expects some. At most
  /// two parts of a divided fleet see half of it.
  bool seesEnough() const;

  const ActiveMembers& members() const { return this->present; }
  /// \returns the time since which the members have been the same, and were
  /// followed without a pause.
  MilliTime unchangedSince() const { return this->changedAt; }
  /// \returns a number that differs after each change of unchangedSince().
  std::uint64_t version() const { return this->changes; }

private:
  ActiveMembers present;
  std::optional<MilliTime> updatedAt;
  MilliTime changedAt{};
  std::uint64_t changes = 0;
  std::size_t largest = 0; ///< number of members seen lately
  MilliTime largestAt{};   ///< last time that so many were seen
};

}

#endif
