#ifndef BUCKTHORNWING_PACKET_H
#define BUCKTHORNWING_PACKET_H

#include "FlowKey.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace buckthornwing {

/// \brief A whole IP packet, as it is contained in a datagram of the fabric.
using PacketBytes = std::span<const std::uint8_t>;

/// \brief Role of a packet in its flow.
enum class PacketKind : std::uint8_t
{
  opening,      ///< TCP SYN without ACK
  otherSegment, ///< any other TCP segment
  closing,      ///< TCP FIN or RST from the caller
  datagram,     ///< UDP datagram; may be the first of its flow
  icmpError,    ///< ICMP error; the key is that of the embedded flow
};

/// \brief Why bytes were rejected as a packet.
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

/// \brief A parsed packet; \c key and \c kind are valid only if \c fault is
/// none.
///
/// The key of an ICMP error is that of the embedded packet with source and
/// destination exchanged, since a target sent the embedded packet to the
/// caller.
struct ParsedPacket
{
  ParseFault fault = ParseFault::none;
  PacketKind kind = PacketKind::otherSegment;
  FlowKey key;
};

/// \brief Parses an IPv4 or IPv6 packet without reading past the span.
///
/// IPv4 header checksums are verified. Those of TCP and UDP are not: the target
/// receives the packet unchanged and verifies them.
ParsedPacket
parsePacket(PacketBytes bytes);

/// \returns the fault's name in logs and metrics, in lower case.
std::string_view
parseFaultName(ParseFault fault);

/// \returns the Internet checksum (RFC 1071) of \a bytes, in host byte order.
/// \param start sum to which the bytes are added, such as that of a pseudo
/// header
std::uint16_t
internetChecksum(PacketBytes bytes, std::uint32_t start = 0);

}

#endif
