#ifndef BUCKTHORNWING_EVACUATIONS_H
#define BUCKTHORNWING_EVACUATIONS_H

#include "../Core/MilliTime.h"
#include "EvacuationDelta.h"
#include "EvacuationList.h"
#include "EvacuationListing.h"

#include <cstddef>
#include <optional>
#include <span>

namespace buckthornwing {

/// \brief Time for which an evacuation stays in force that the store has lost
/// because it came back from an older copy. The operator has not withdrawn it
/// and can write it again meanwhile.
inline constexpr MilliDuration kLostEvacuationLifetime{ 10000 };

/// \brief The zones that the operator has evacuated, with the position in the
/// store's history up to which they are known.
///
/// The position is raised only by lists that are complete or continue from it.
/// Whoever has a list at a later position knows the evacuations better, so
/// lists of peers at earlier positions are ignored.
class Evacuations
{
public:
  /// \brief Longest list that is kept and passed on: all of it is part of each
  /// heartbeat. Of more evacuations, the newest ones are kept.
  static constexpr std::size_t kMaxZones = 64;
  /// \brief The same for the sum of the names, in bytes.
  static constexpr std::size_t kMaxNameBytes = 4000;

  /// \brief Applies the complete list of the store. Evacuations that are
  /// missing from it have ended, unless they are of an earlier era.
  void applyListing(const EvacuationListing& listing, MilliTime now);

  /// \brief Applies the changes since a position that is held here.
  /// \returns false, without a change, if they don't continue from the position
  bool applyDelta(const EvacuationDelta& delta, MilliTime now);

  /// \brief Takes over the list of a peer if it is of a later position.
  void merge(const EvacuationList& ofPeer, MilliTime now);

  /// \brief Removes the evacuations of earlier eras whose time has passed.
  void removeExpired(MilliTime now);

  /// \returns whether any list was applied.
  bool loaded() const { return this->current.has_value(); }
  /// \returns the evacuations with their position; nothing before the first
  /// list.
  const std::optional<EvacuationList>& list() const { return this->current; }
  /// \returns the position of the list; nothing before the first one.
  std::optional<StorePosition> position() const;
  /// \returns the evacuations, in ascending order of their zones.
  std::span<const Evacuation> zones() const;

private:
  std::optional<EvacuationList> current;
  MilliTime eraSeenAt{}; ///< when the era of the list was first seen

  /// \brief Replaces the list by a complete one. Evacuations that the complete
  /// one can't know stay.
  void replace(EvacuationList list, MilliTime now);
  /// \returns whether the store has lost an evacuation; requires a list.
  bool isLost(const Evacuation& evacuation) const;
  /// \returns whether the time of a lost evacuation has passed.
  bool isExpired(const Evacuation& evacuation, MilliTime now) const;
};

}

#endif
