#ifndef BUCKTHORNWING_SLOW_START_LIMITER_H
#define BUCKTHORNWING_SLOW_START_LIMITER_H

#include "HeldShare.h"
#include "MembershipWatch.h"
#include "RequestWindow.h"
#include "SlowStartShare.h"

#include <map>
#include <span>

namespace buckthornwing {

/// \brief Limits the new flows that this instance places on cold targets to its
/// share, so that all instances together keep each target's allowance.
///
/// No messages are exchanged for it: every instance computes its share from the
/// members that it sees. Because views of the members differ for a while after
/// each change, a share counts only after kShareHoldTime, and all shares add up
/// to half of the allowance.
class SlowStartLimiter
{
public:
  /// \brief Takes over the members and the cold targets; called with each tick.
  void update(const ActiveMembers& members,
              std::span<const ColdTarget> targets,
              MilliTime now);

  /// \returns whether a target was among the cold ones at the last update.
  bool limits(TargetKey target) const { return this->limited.contains(target); }

  /// \returns whether this instance may place a flow on a cold target now; not
  /// before the first update with the target.
  bool mayPlace(TargetKey target, MilliTime now) const;

  /// \brief Records that a flow was placed on a target, which stands for its
  /// first request, or that an open flow sent a further one. Ignored if the
  /// target is not limited.
  void recordRequest(TargetKey target, MilliTime now);

private:
  /// \brief What this instance may place on a cold target, and what it sent
  /// there lately.
  struct LimitedTarget
  {
    ColdTarget target;
    /// MembershipWatch::version() for which \a computed holds; nothing at
    /// first.
    std::optional<std::uint64_t> version;
    std::uint32_t computed = 0;
    HeldShare share;
    RequestWindow requests;
    bool isListed = false; ///< it is in the list of this update
  };

  MembershipWatch watch;
  std::map<TargetKey, LimitedTarget> limited;

  void updateShare(LimitedTarget& entry,
                   const ColdTarget& target,
                   MilliTime now);
};

}

#endif
