#ifndef BUCKTHORNWING_ACTIVE_MEMBERS_H
#define BUCKTHORNWING_ACTIVE_MEMBERS_H

#include "ActiveMember.h"

#include <cstddef>
#include <vector>

namespace buckthornwing {

/// \brief The active members of the fleet as seen by one instance.
struct ActiveMembers
{
  ActiveMember own;
  bool isOwnActive = false; ///< this instance is not stopping
  /// The settings name other instances: without a peer, this instance does not
  /// know the fleet.
  bool expectsPeers = false;
  std::vector<ActiveMember> peers; ///< in ascending order

  /// \returns the number of active members, this instance included.
  std::size_t count() const
  {
    return this->peers.size() + (this->isOwnActive ? 1 : 0);
  }

  bool operator==(const ActiveMembers&) const = default;
};

}

#endif
