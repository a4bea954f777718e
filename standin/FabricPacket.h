#ifndef BUCKTHORNWING_FABRIC_PACKET_H
#define BUCKTHORNWING_FABRIC_PACKET_H

#include <Tagging>

#include <optional>
#include <span>
#include <vector>

namespace buckthornwing::standin {

/// \returns the datagram in which the fabric brings a caller's packet.
std::vector<std::uint8_t>
encodeCallerPacket(const CallerPacket& packet);

/// \brief Decodes an instance's reset of a flow.
/// \returns the flow, its source being the caller; nothing if the datagram is
/// no such reset
std::optional<FlowKey>
parseReset(std::span<const std::uint8_t> datagram);

}

#endif
