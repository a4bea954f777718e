#ifndef BUCKTHORNWING_CALLER_PACKET_H
#define BUCKTHORNWING_CALLER_PACKET_H

#include "../Core/FlowKey.h"
#include "FlowTag.h"

#include <cstdint>
#include <span>

namespace buckthornwing {

/// \brief A packet from a caller, decoded from a datagram of a tagging fabric.
struct CallerPacket
{
  FlowKey flow;           ///< the source is the caller
  FlowTag tag;            ///< empty in a valid opening
  bool isOpening = false; ///< first packet of a flow, or a copy of it
  bool isFinish = false;  ///< the caller closes its side of the flow
  bool isReset = false;   ///< the caller aborts the flow
  /// Number of earlier copies of the opening.
  std::uint32_t openingCopyIndex = 0;
  std::uint32_t sequence = 0;     ///< number of the first payload byte
  std::uint32_t acknowledged = 0; ///< next byte that the caller expects
  std::span<const std::uint8_t> payload;
};

/// \brief Reason why a datagram of the fabric is not a valid caller packet.
enum class PacketFault : std::uint8_t
{
  none,
  truncated,
  lengthMismatch,
  unknownFlags,
  notFromCaller, ///< has flags that only a target sends
};

/// \returns the stable lower-case name of a fault in logs and metrics.
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
