#include "CallerFlow.h"

#include <array>
#include <cstring>

namespace buckthornwing::measure {

FlowKey
makeCallerKey(std::uint32_t number,
              std::uint16_t port,
              const std::string& serviceAddress)
{
  constexpr std::uint32_t kFirstAddress = 0x0a000000U;
  const std::uint32_t address = kFirstAddress + number;
  FlowKey key;
  key.source.address = *parseIpAddress("10.0.0.0");
  for (unsigned i = 0; i < 4; ++i) {
    key.source.address.bytes[12 + i] =
      static_cast<std::uint8_t>(address >> (24U - 8U * i));
  }
  key.source.port = port;
  key.destination = Endpoint{ *parseIpAddress(serviceAddress), 443 };
  return key;
}

std::vector<std::uint8_t>
buildCallerPacket(const CallerFlow& flow, std::uint64_t number)
{
  const TcpFlags flags{ .syn = !flow.established,
                        .ack = flow.established,
                        .fin = flow.closing };
  const PacketPayload content{ number, flow.request };
  std::array<std::uint8_t, sizeof content> payload{};
  std::memcpy(payload.data(), &content, sizeof content);
  return buildTcpPacket(flow.key, flags, payload);
}

PacketPayload
readPayload(PacketBytes packet)
{
  PacketPayload content;
  std::memcpy(
    &content, packet.data() + packet.size() - sizeof content, sizeof content);
  return content;
}

}
