#ifndef BUCKTHORNWING_ACTIVE_MEMBERS_H
#define BUCKTHORNWING_ACTIVE_MEMBERS_H

#include "../Core/Hash.h"

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief Hash of an availability zone's name.
using ZoneKey = std::uint64_t;

/// \returns the key of the zone with a name.
inline ZoneKey
zoneKeyOf(std::string_view zone)
{
  return hashText(zone);
}

/// \brief An instance that is live and not stopping.
struct ActiveMember
{
  std::uint64_t key = 0; ///< hash of its id; the same at all members
  ZoneKey zone = 0;

  auto operator<=>(const ActiveMember&) const = default;
};

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
