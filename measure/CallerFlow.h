#ifndef BUCKTHORNWING_MEASURE_CALLER_FLOW_H
#define BUCKTHORNWING_MEASURE_CALLER_FLOW_H

#include <Core>

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornwing::measure {

/// \brief A caller's flow, and what targets know of it.
struct CallerFlow
{
  FlowKey key;
  std::size_t service = 0;
  std::string zone; ///< the caller's side of a partition
  std::string target;
  bool opened = false;      ///< a target has it
  bool established = false; ///< the caller was answered
  bool counted = true;
  bool over = false;
  bool closing = false;
  bool floods = false;
  bool excused = false; ///< a partition kept it from its target
  MilliTime askedAt{};
  MilliTime closeAt{};
  MilliDuration wait{};
  std::uint64_t request = 0; ///< number of the packet that awaits an answer
  bool answered = true;
};

/// \brief What a packet's payload tells a target.
struct PacketNote
{
  std::uint64_t flow = 0; ///< number of the flow
  std::uint64_t request = 0;
};

/// \returns a key of its own for the \a number-th caller of a service.
FlowKey
makeCallerKey(std::uint32_t number,
              std::uint16_t port,
              const std::string& serviceAddress);

/// \returns the packet that a flow sends next.
std::vector<std::uint8_t>
buildCallerPacket(const CallerFlow& flow, std::uint64_t number);

/// \returns the note in a packet of buildCallerPacket().
PacketNote
readNote(PacketBytes packet);

}

#endif
