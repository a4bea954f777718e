#ifndef BUCKTHORNWING_DISSEMINATION_H
#define BUCKTHORNWING_DISSEMINATION_H

#include "../Board/Blackboard.h"

#include <map>
#include <vector>

namespace buckthornwing {

/// \returns what this instance knows of a member, as it is told to others.
MemberUpdate
describeMember(const Member& member);

/// \brief Changes of members that still travel with this instance's probes.
class Dissemination
{
public:
  explicit Dissemination(const Blackboard& board);

  /// \brief Lets a member's state travel, a number of times that grows with
  /// the logarithm of the fleet's size.
  void spread(MemberIndex member);

  /// \returns the updates for the next probe to a member. One that is not known
  /// to be alive is also told of this instance, and of its own state.
  std::vector<MemberUpdate> take(MemberIndex to);

private:
  const Blackboard& board;
  std::map<MemberIndex, unsigned> timesLeft;
};

}

#endif
