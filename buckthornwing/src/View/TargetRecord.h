#ifndef BUCKTHORNWING_TARGET_RECORD_H
#define BUCKTHORNWING_TARGET_RECORD_H

#include "../Config/Configuration.h"
#include "../Core/Hash.h"
#include "../Core/MilliTime.h"
#include "StorePosition.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Short name of a target in reports between instances. Two of 3,000
/// targets share one with a probability of 1 in 1,000; their loads are then
/// taken for each other's.
using ShortTargetKey = std::uint32_t;

/// \brief Identifies a target in flow tags: a hash of its id.
///
/// Entries of several ids may have one TargetRecord::number, but not one key.
struct TargetKey
{
  std::uint64_t bits = 0;

  auto operator<=>(const TargetKey&) const = default;

  ShortTargetKey shortened() const
  {
    return static_cast<ShortTargetKey>(this->bits >> 32);
  }
};

/// \returns the key of the target with an id.
inline TargetKey
targetKeyOf(std::string_view id)
{
  return TargetKey{ hashText(id) };
}

/// \brief Registration of a backend server.
struct TargetRecord
{
  std::string id;
  /// Number of the target, which is sent with each forwarded packet. A target
  /// drops packets with another number, so packets are not delivered to a new
  /// target that reuses the address. An entry of another writer may have the
  /// number of a target.
  std::uint64_t number = 0;
  Endpoint address;
  std::string zone;
  Labels labels; ///< matched against the selectors of services
  std::uint32_t slots = 0;
  TargetState state = TargetState::serving;
  MilliDuration
    remainingWarmup{}; ///< remaining warm-up time when it was published
  std::uint64_t incarnation = 0; ///< wall-clock time of its start; 0: unknown

  bool operator==(const TargetRecord&) const = default;
};

/// \returns the number of requests that a target runs at once; a usual one if
/// it publishes none.
inline double
slotsOf(const TargetRecord& record)
{
  constexpr double kDefaultSlots = 4;
  return record.slots == 0 ? kDefaultSlots : static_cast<double>(record.slots);
}

/// \brief Kind of a change of a registry entry.
enum class ChangeKind : std::uint8_t
{
  listed,     ///< the entry was written with a valid record
  unreadable, ///< the entry was overwritten by something that can't be parsed
  gone,       ///< the entry was removed
};

/// \brief A change of one registry entry.
struct TargetChange
{
  std::string id;
  ChangeVersion version;
  ChangeKind kind = ChangeKind::gone;
  TargetRecord record; ///< only for ChangeKind::listed
  /// Only for ChangeKind::listed: the sender knows that the target had left or
  /// was draining before the store came back from an older copy with this
  /// entry, see KnownTarget::awaitsRenewal.
  bool awaitsRenewal = false;
};

}

#endif
