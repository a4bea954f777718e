#ifndef BUCKTHORNWING_DISSEMINATION_H
#define BUCKTHORNWING_DISSEMINATION_H

#include "../Board/Blackboard.h"

#include <map>
#include <vector>

namespace buckthornwing {

/// \returns this instance's knowledge of a member as an update for its peers.
MemberUpdate
describeMember(const Member& member);

/// \brief Queue of member updates that are sent with this instance's probes.
class Dissemination
{
public:
  explicit Dissemination(const Blackboard& board);

  /// \brief Queues a member's state to be sent with the next probes.
  ///
  /// The number of probes that carry it grows with the logarithm of the fleet's
  /// size. For a member that is already queued, counting restarts.
  void enqueue(MemberIndex member);

  /// \brief Takes the updates for the next probe to a member from the queue.
  ///
  /// A member that is not known to be alive also gets the state of this
  /// instance. A member that is considered dead gets its own state, too, so
  /// that it can refute it.
  std::vector<MemberUpdate> takeUpdates(MemberIndex to);

private:
  const Blackboard& board;
  std::map<MemberIndex, unsigned> remainingSends; ///< probes left per member
};

}

#endif
