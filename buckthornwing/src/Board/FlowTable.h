#ifndef BUCKTHORNWING_FLOW_TABLE_H
#define BUCKTHORNWING_FLOW_TABLE_H

#include "../Core/FlowKey.h"
#include "Service.h"
#include "Target.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>

namespace buckthornwing {

/// \brief Flags of a flow entry: its origin and its state.
namespace entry_flag {
/// This instance owns the flow: it placed it or took it over.
inline constexpr std::uint16_t kOwned = 1;
/// Backup of another owner's flow. Packets from the fabric are not forwarded by
/// it, unless this instance acts for the slot.
inline constexpr std::uint16_t kBackup = 2;
/// The flow is away from its table target, and its owner sent the record to all
/// instances.
inline constexpr std::uint16_t kAway = 4;
/// The owner sent the record to this instance, which relayed many packets of
/// the flow.
inline constexpr std::uint16_t kHint = 8;
/// The caller closed or reset the flow.
inline constexpr std::uint16_t kClosed = 16;
/// The record was sent to a backup owner.
inline constexpr std::uint16_t kBackedUp = 32;
/// The record was sent to a second backup owner.
inline constexpr std::uint16_t kBackedUpTwice = 256;
/// Taken over from a backup, and no packet was seen since. The flow may have
/// ended, so it is not counted as load.
inline constexpr std::uint16_t kUnconfirmed = 64;
/// The owner sent hints of the flow to other instances.
inline constexpr std::uint16_t kHinted = 128;
}

/// \brief A flow and its target. Kept at 16 bytes, because the table is large.
struct FlowEntry
{
  TargetIndex target = kNoTargetIndex;
  ServiceIndex service = kNoServiceIndex;
  std::uint16_t flags = 0;
  std::uint8_t relayedPackets = 0; ///< since the last hint
  /// Second of the placement. In a record from an owner also the second in
  /// which a packet was last relayed to the owner.
  std::uint32_t placedSecond = 0;
  std::uint32_t seenSecond = 0; ///< second of the last packet or refresh

  bool has(std::uint16_t flag) const { return (this->flags & flag) != 0; }
};

static_assert(sizeof(FlowEntry) == 16);

/// \brief All flows that are known to this instance.
using FlowTable =
  boost::unordered_flat_map<FlowId, FlowEntry, std::hash<FlowId>>;

}

#endif
