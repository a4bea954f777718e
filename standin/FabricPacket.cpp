#include "FabricPacket.h"

#include <platform/PacketCodec.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace buckthornwing::standin {

std::vector<std::uint8_t>
encodeCallerPacket(const CallerPacket& packet)
{
  using boost::endian::store_big_u16;
  using boost::endian::store_big_u32;
  namespace offset = platform::offset;
  namespace flag = platform::flag;
  const FlowKey& flow = packet.flow;
  const auto length = static_cast<std::uint16_t>(packet.payload.size());
  std::vector<std::uint8_t> bytes(platform::kHeaderBytes + length);
  store_big_u16(&bytes[offset::kDestinationPort], flow.destination.port);
  store_big_u16(&bytes[offset::kSourcePort], flow.source.port);
  std::copy_n(&flow.source.address.bytes[12], 4, &bytes[offset::kSource]);
  std::copy_n(
    &flow.destination.address.bytes[12], 4, &bytes[offset::kDestination]);
  store_big_u32(&bytes[offset::kFlowTag], packet.tag.bits);
  store_big_u16(&bytes[offset::kLength], length);
  bytes[offset::kFlags] = packet.isOpening ? flag::kOpen : flag::kAcknowledge;
  bytes[offset::kFlags] |= packet.isFinish ? flag::kFinish : 0;
  store_big_u32(&bytes[offset::kSequence], packet.sequence);
  store_big_u32(&bytes[offset::kAcknowledged],
                packet.isOpening ? packet.openingCopyIndex
                                 : packet.acknowledged);
  std::copy(packet.payload.begin(),
            packet.payload.end(),
            bytes.begin() + platform::kHeaderBytes);
  return bytes;
}

std::optional<FlowKey>
parseReset(std::span<const std::uint8_t> datagram)
{
  CallerPacket packet;
  const bool isPacket =
    platform::PacketCodec::parse(datagram, packet) == PacketFault::none;
  const bool isReset = isPacket && packet.isReset && !packet.isOpening &&
                       !packet.isFinish && packet.payload.empty();
  if (!isReset) {
    return std::nullopt;
  }
  std::swap(packet.flow.source, packet.flow.destination);
  return packet.flow;
}

}
