#ifndef BUCKTHORNWING_TARGET_RECORD_H
#define BUCKTHORNWING_TARGET_RECORD_H

#include "../Config/Configuration.h"
#include "../Core/MilliTime.h"
#include "StorePosition.h"

#include <cstdint>
#include <string>

namespace buckthornwing {

/// \brief Registration of a backend server.
struct TargetRecord
{
  std::string id;
  /// Number of the target, which is sent with each forwarded packet. A target
  /// drops packets with another number, so packets are not delivered to a new
  /// target that reuses the address.
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
