#ifndef BUCKTHORNWING_PACKET_H
#define BUCKTHORNWING_PACKET_H

#include "FlowKey.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace buckthornwing {

/// \brief A whole IP packet as it stands in a datagram of the fabric.
using PacketBytes = std::span<const std::uint8_t>;

/// \brief What a packet means to its flow.
enum class PacketKind : std::uint8_t
{
  opening,   ///< TCP SYN without ACK
  middle,    ///< any other TCP segment
  closing,   ///< TCP FIN or RST from the caller
  datagram,  ///< UDP, which has no opening of its own
  icmpError, ///< ICMP error; the key is that of the embedded flow
};

/// \brief Why bytes were not taken as a packet.
enum class ParseFault : std::uint8_t
{
  none,
  truncated,
  badVersion,
  badHeader,
  badChecksum,
  fragment,
  unsupportedProtocol,
};

/// \brief A parsed packet; \c key and \c kind hold when \c fault is none.
///
/// For an ICMP error the key is turned to the caller's direction, since the
/// embedded packet is one that a target sent to its caller.
struct ParsedPacket
{
  ParseFault fault = ParseFault::none;
  PacketKind kind = PacketKind::middle;
  FlowKey key;
};

/// \brief Parses an IPv4 or IPv6 packet; never reads past the span.
///
/// IPv4 header checksums are verified. Those of TCP and UDP are left to the
/// target, which receives the packet untouched.
ParsedPacket
parsePacket(PacketBytes bytes);

/// \returns a stable lower-case name for logs and metrics.
std::string_view
parseFaultName(ParseFault fault);

/// \returns the Internet checksum (RFC 1071) of \a bytes with a start value.
std::uint16_t
internetChecksum(PacketBytes bytes, std::uint32_t start = 0);

}

#endif
