#ifndef BUCKTHORNWING_FLOW_TABLE_H
#define BUCKTHORNWING_FLOW_TABLE_H

#include "../Core/FlowKey.h"
#include "Service.h"
#include "Target.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>

namespace buckthornwing {

/// \brief What an entry is for, and what became of it.
namespace entry_flag {
/// This instance placed the flow or took it over.
inline constexpr std::uint16_t kOwned = 1;
/// Kept for another owner; not used for packets from the fabric.
inline constexpr std::uint16_t kBackup = 2;
/// The owner told every instance about the flow.
inline constexpr std::uint16_t kAway = 4;
/// The owner told this instance, because it relayed many packets.
inline constexpr std::uint16_t kHint = 8;
/// The caller closed or reset the flow.
inline constexpr std::uint16_t kClosed = 16;
/// A backup owner was told.
inline constexpr std::uint16_t kBackedUp = 32;
/// So was one in another zone.
inline constexpr std::uint16_t kBackedUpTwice = 256;
/// Taken over from a backup, and no packet of it was seen since: it may have
/// ended, so it does not count as load.
inline constexpr std::uint16_t kUnconfirmed = 64;
/// Other instances hold hints of the flow.
inline constexpr std::uint16_t kHinted = 128;
}

/// \brief One flow and its target; 16 bytes.
struct FlowEntry
{
  TargetIndex target = kNoTargetIndex;
  ServiceIndex service = kNoServiceIndex;
  std::uint16_t flags = 0;
  std::uint8_t relayedPackets = 0; ///< since the last hint, saturating
  std::uint32_t placedSecond = 0;
  std::uint32_t seenSecond = 0;

  bool has(std::uint16_t flag) const { return (this->flags & flag) != 0; }
};

static_assert(sizeof(FlowEntry) == 16);

/// \brief All flows that this instance knows.
using FlowTable =
  boost::unordered_flat_map<FlowId, FlowEntry, std::hash<FlowId>>;

}

#endif
