#ifndef BUCKTHORNWING_TARGET_RECORD_H
#define BUCKTHORNWING_TARGET_RECORD_H

#include "../Config/Configuration.h"
#include "../Core/MilliTime.h"

#include <cstdint>
#include <string>

namespace buckthornwing {

/// \brief A backend server as a registry describes it.
struct TargetRecord
{
  std::string id;
  /// The number that the target compares with the one in a forwarded packet;
  /// another target that got its address drops such a packet.
  std::uint64_t number = 0;
  Endpoint address;
  std::string zone;
  Labels labels; ///< what selectors of services are matched against
  std::uint32_t slots = 0;
  TargetState state = TargetState::serving;
  MilliDuration slowFor{};       ///< rest of its cold start when published
  std::uint64_t incarnation = 0; ///< wall clock of its start; 0 if unknown

  bool operator==(const TargetRecord&) const = default;
};

/// \brief What became of an entry of a registry.
enum class ChangeKind : std::uint8_t
{
  listed,     ///< written, with a record
  unreadable, ///< overwritten by something that is no record
  gone,
};

/// \brief One change of a registry.
struct TargetChange
{
  std::string id;
  std::uint64_t revision = 0;
  ChangeKind kind = ChangeKind::gone;
  TargetRecord record; ///< only for ChangeKind::listed
};

}

#endif
