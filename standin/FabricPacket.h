#ifndef BUCKTHORNWING_FABRIC_PACKET_H
#define BUCKTHORNWING_FABRIC_PACKET_H

#include <Tagging>

#include <vector>

namespace buckthornwing::standin {

/// \returns the datagram in which the fabric brings a caller's packet.
std::vector<std::uint8_t>
encodeCallerPacket(const CallerPacket& packet);

}

#endif
