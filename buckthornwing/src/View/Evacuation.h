#ifndef BUCKTHORNWING_EVACUATION_H
#define BUCKTHORNWING_EVACUATION_H

#include "StorePosition.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Longest name of a zone that can be evacuated, in bytes.
inline constexpr std::size_t kMaxZoneNameBytes = 200;

/// \returns whether a text can be the name of an evacuated zone.
inline bool
isZoneName(std::string_view name)
{
  return !name.empty() && name.size() <= kMaxZoneNameBytes;
}

/// \brief The operator's request to send no new flows to the targets of a zone.
struct Evacuation
{
  std::string zone;
  ChangeVersion version; ///< of the entry with the request

  bool operator==(const Evacuation&) const = default;
};

}

#endif
