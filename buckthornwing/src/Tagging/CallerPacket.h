#ifndef BUCKTHORNWING_CALLER_PACKET_H
#define BUCKTHORNWING_CALLER_PACKET_H

#include "../Core/FlowKey.h"
#include "FlowTag.h"

#include <cstdint>
#include <span>

namespace buckthornwing {

/// \brief One packet on its way from a caller, as a tagging fabric shows it.
struct CallerPacket
{
  FlowKey flow; ///< the source is the caller
  FlowTag tag;
  bool opens = false; ///< first packet of a flow, or a copy of it
  bool finishes = false;
  bool resets = false;
  std::uint32_t openingCopy = 0;  ///< copies of an opening sent before this one
  std::uint32_t sequence = 0;     ///< of the first payload byte
  std::uint32_t acknowledged = 0; ///< next byte that the caller expects
  std::span<const std::uint8_t> payload;
};

/// \brief Why a datagram of the fabric is no packet of a caller.
enum class PacketFault : std::uint8_t
{
  none,
  truncated,
  lengthMismatch,
  unknownFlags,
  notFromCaller, ///< flags that only a target sends
};

/// \returns a stable lower-case name for logs and metrics.
constexpr const char*
packetFaultName(PacketFault fault)
{
  switch (fault) {
    case PacketFault::none:
      return "none";
    case PacketFault::truncated:
      return "truncated";
    case PacketFault::lengthMismatch:
      return "length_mismatch";
    case PacketFault::unknownFlags:
      return "unknown_flags";
    case PacketFault::notFromCaller:
      return "not_from_caller";
  }
  return "unknown";
}

inline constexpr std::size_t kPacketFaultCount = 5;

}

#endif
