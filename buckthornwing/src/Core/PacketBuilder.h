#ifndef BUCKTHORNWING_PACKET_BUILDER_H
#define BUCKTHORNWING_PACKET_BUILDER_H

#include "Packet.h"

#include <vector>

namespace buckthornwing {

/// \brief TCP flags of a packet to build.
struct TcpFlags
{
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool rst = false;
};

/// \returns a TCP packet of a flow with valid checksums and sequence number 0.
std::vector<std::uint8_t>
buildTcpPacket(const FlowKey& key, TcpFlags flags, PacketBytes payload);

/// \returns a UDP packet of a flow with valid checksums.
std::vector<std::uint8_t>
buildUdpPacket(const FlowKey& key, PacketBytes payload);

/// \brief Builds the response to a refused packet: a TCP reset for TCP, an ICMP
/// port unreachable error for UDP.
/// \param original the refused packet
/// \param parsed its result of parsePacket(), without a fault
/// \returns the packet to send to the caller
std::vector<std::uint8_t>
buildRefusal(PacketBytes original, const ParsedPacket& parsed);

}

#endif
