/// \file
/// \brief Fuzzes the packet parser: any bytes are survived, and what parses as
/// a TCP opening can be refused with a packet that parses.

#include <Core>

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
  using namespace buckthornwing;
  const PacketBytes bytes(data, size);
  const ParsedPacket packet = parsePacket(bytes);
  if (packet.fault != ParseFault::none || packet.kind != PacketKind::opening) {
    return 0;
  }
  const auto answer = buildRefusal(bytes, packet);
  if (parsePacket(answer).fault != ParseFault::none) {
    std::abort();
  }
  return 0;
}
