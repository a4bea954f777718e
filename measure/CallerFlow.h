#ifndef BUCKTHORNWING_MEASURE_CALLER_FLOW_H
#define BUCKTHORNWING_MEASURE_CALLER_FLOW_H

#include <Core>

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornwing::measure {

/// \brief A caller's flow with the state of its last request and the target
/// that holds it.
struct CallerFlow
{
  FlowKey key;
  std::size_t service = 0;
  std::string zone;         ///< the caller's zone
  std::string target;       ///< id of the target that received the opening
  bool opened = false;      ///< the opening packet reached a target
  bool established = false; ///< the caller received an answer
  bool counted = true;      ///< included in the result
  bool ended = false;       ///< closed, refused or broken
  bool closing = false;     ///< the last request carries FIN
  bool fromFlood = false;   ///< of a flood; not replaced at its end
  bool separatedByPartition = false; ///< the last request met a partition
  MilliTime requestedAt{};           ///< first transmission of the last request
  MilliTime closeAt{}; ///< requests after this time close the flow
  MilliDuration retransmitTimeout{}; ///< until the next retransmission
  std::uint64_t request = 0;         ///< number of the last request
  bool answered = true;              ///< the last request was answered
};

/// \brief The content of a packet's payload: which flow and request it
/// belongs to.
struct PacketPayload
{
  std::uint64_t flow = 0; ///< index of the flow in the World
  std::uint64_t request = 0;
};

/// \returns the TCP flow key of a caller of a service.
/// \param number offset of the source address from 10.0.0.0; a different
/// number gives a different key
/// \param port source port
/// \param serviceAddress destination address as text; its port is 443
FlowKey
makeCallerKey(std::uint32_t number,
              std::uint16_t port,
              const std::string& serviceAddress);

/// \returns the TCP packet of a flow's last request: SYN before the flow is
/// established, ACK after it, with FIN if the flow is closing.
/// \param number index of the flow, written into the payload
std::vector<std::uint8_t>
buildCallerPacket(const CallerFlow& flow, std::uint64_t number);

/// \returns the payload of a packet that buildCallerPacket() built.
PacketPayload
readPayload(PacketBytes packet);

}

#endif
