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

/// \brief Builds a TCP packet of a flow, with valid checksums.
std::vector<std::uint8_t>
buildTcpPacket(const FlowKey& key, TcpFlags flags, PacketBytes payload);

/// \brief Builds a UDP packet of a flow, with valid checksums.
std::vector<std::uint8_t>
buildUdpPacket(const FlowKey& key, PacketBytes payload);

/// \brief Builds the answer to a refused opening: TCP reset for TCP, ICMP port
/// unreachable for UDP. \a original is the refused packet, already parsed.
std::vector<std::uint8_t>
buildRefusal(PacketBytes original, const ParsedPacket& parsed);

}

#endif
