#ifndef BUCKTHORNWING_ACTIVE_MEMBER_H
#define BUCKTHORNWING_ACTIVE_MEMBER_H

#include "../Core/Hash.h"

#include <compare>
#include <cstdint>
#include <string_view>

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

}

#endif
