#ifndef BUCKTHORNWING_FABRIC_PACKET_H
#define BUCKTHORNWING_FABRIC_PACKET_H

#include <Tagging>

#include <optional>
#include <span>
#include <vector>

namespace buckthornwing::standin {

/// \returns the datagram in which the fabric delivers a caller's packet.
std::vector<std::uint8_t>
encodeCallerPacket(const CallerPacket& packet);

/// \brief Decodes a reset that an instance sends to a caller.
/// \returns the flow, with the caller as its source; nothing if the datagram is
/// not a valid reset
std::optional<FlowKey>
parseReset(std::span<const std::uint8_t> datagram);

}

#endif
