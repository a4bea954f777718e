/// \file
/// \brief Fuzzes the packet parser.
///
/// No input may crash it. For each packet that opens a TCP connection, the
/// refusal that is built must be a valid packet.

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
  const auto refusal = buildRefusal(bytes, packet);
  if (parsePacket(refusal).fault != ParseFault::none) {
    std::abort();
  }
  return 0;
}
