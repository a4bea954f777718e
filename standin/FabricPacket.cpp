#include "FabricPacket.h"

#include <platform/PacketHeader.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace buckthornwing::standin {
namespace internal {

constexpr std::uint8_t kOpens = 128;
constexpr std::uint8_t kFinishes = 8;
constexpr std::uint8_t kAcknowledges = 4;

}

std::vector<std::uint8_t>
encodeCallerPacket(const CallerPacket& packet)
{
  using boost::endian::store_big_u16;
  using boost::endian::store_big_u32;
  std::vector<std::uint8_t> bytes(platform::kHeaderBytes +
                                  packet.payload.size());
  const FlowKey& flow = packet.flow;
  store_big_u16(&bytes[0], flow.destination.port);
  store_big_u16(&bytes[2], flow.source.port);
  std::copy_n(&flow.source.address.bytes[12], 4, &bytes[4]);
  std::copy_n(&flow.destination.address.bytes[12], 4, &bytes[8]);
  store_big_u32(&bytes[12], packet.tag.bits);
  store_big_u16(&bytes[16], static_cast<std::uint16_t>(packet.payload.size()));
  bytes[18] = packet.opens ? internal::kOpens : internal::kAcknowledges;
  bytes[18] |= packet.finishes ? internal::kFinishes : 0;
  store_big_u32(&bytes[20], packet.sequence);
  store_big_u32(&bytes[24],
                packet.opens ? packet.openingCopy : packet.acknowledged);
  std::copy(packet.payload.begin(),
            packet.payload.end(),
            &bytes[platform::kHeaderBytes]);
  return bytes;
}

}
