#ifndef BUCKTHORNWING_EVACUATION_LIST_H
#define BUCKTHORNWING_EVACUATION_LIST_H

#include "StorePosition.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

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

/// \brief All evacuations that are in force at a position of the store's
/// history.
struct EvacuationList
{
  StorePosition asOf;
  std::vector<Evacuation> zones; ///< in ascending order of their names

  bool operator==(const EvacuationList&) const = default;
};

/// \brief A change of the entry that evacuates a zone.
struct EvacuationChange
{
  std::string zone;
  ChangeVersion version;
  bool isWithdrawn = false; ///< the entry was removed
};

/// \brief The changes of evacuations between two positions of the store's
/// history.
struct EvacuationDelta
{
  StorePosition base; ///< the changes continue from here
  StorePosition asOf;
  std::span<const EvacuationChange> changes; ///< in the order of their versions
};

/// \brief The entries of all evacuations. It contains every change up to
/// \a asOf, and may contain some later ones.
struct EvacuationListing
{
  StorePosition asOf;
  std::span<const EvacuationChange> listed;
};

}

#endif
