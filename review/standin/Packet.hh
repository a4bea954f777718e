#ifndef REVIEW_PACKET_HH
#define REVIEW_PACKET_HH

#include "Net.hh"

#include <optional>
#include <string>

namespace review {

/// \brief Packet of a flow, in the layout of the platform's page.
struct Packet
{
  static constexpr std::size_t kHeaderBytes = 32;
  static constexpr std::uint8_t kSyn = 128;
  static constexpr std::uint8_t kAck = 4;
  static constexpr std::uint8_t kFin = 8;
  static constexpr std::uint8_t kRst = 64;

  Address from;
  Address to;
  std::uint32_t echo = 0;
  std::uint8_t flags = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::string data;
  bool isSumRight = false; ///< only for decoded packets

  bool has(std::uint8_t flag) const { return (this->flags & flag) != 0; }
};

inline std::uint32_t
packetSum(const Packet& packet)
{
  std::uint64_t sum = 0x9e3779b97f4a7c15ULL;
  const auto mix = [&sum](std::uint64_t word) {
    sum = (sum ^ word) * 0x100000001b3ULL;
    sum ^= sum >> 29;
  };
  mix(packet.from.ip);
  mix(packet.from.port);
  mix(packet.to.ip);
  mix(packet.to.port);
  mix(packet.flags);
  mix(packet.sequence);
  mix(packet.acknowledged);
  for (const char each : packet.data) {
    mix(static_cast<unsigned char>(each));
  }
  return static_cast<std::uint32_t>(sum | 1);
}

inline void
appendNumber(std::string& bytes, std::uint64_t value, unsigned size)
{
  for (unsigned i = size; i-- > 0;) {
    bytes += static_cast<char>(value >> (8 * i) & 255);
  }
}

inline std::uint64_t
readNumber(const std::string& bytes, std::size_t at, unsigned size)
{
  std::uint64_t value = 0;
  for (unsigned i = 0; i < size; ++i) {
    value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  }
  return value;
}

inline std::string
encodePacket(const Packet& packet)
{
  std::string bytes;
  appendNumber(bytes, packet.to.port, 2);
  appendNumber(bytes, packet.from.port, 2);
  appendNumber(bytes, packet.from.ip, 4);
  appendNumber(bytes, packet.to.ip, 4);
  appendNumber(bytes, packet.echo, 4);
  appendNumber(bytes, packet.data.size(), 2);
  appendNumber(bytes, packet.flags, 1);
  appendNumber(bytes, 0, 1);
  appendNumber(bytes, packet.sequence, 4);
  appendNumber(bytes, packet.acknowledged, 4);
  appendNumber(bytes, packetSum(packet), 4);
  return bytes + packet.data;
}

inline std::optional<Packet>
decodePacket(const std::string& bytes)
{
  if (bytes.size() < Packet::kHeaderBytes ||
      readNumber(bytes, 16, 2) != bytes.size() - Packet::kHeaderBytes) {
    return std::nullopt;
  }
  Packet packet;
  packet.to.port = static_cast<std::uint16_t>(readNumber(bytes, 0, 2));
  packet.from.port = static_cast<std::uint16_t>(readNumber(bytes, 2, 2));
  packet.from.ip = static_cast<std::uint32_t>(readNumber(bytes, 4, 4));
  packet.to.ip = static_cast<std::uint32_t>(readNumber(bytes, 8, 4));
  packet.echo = static_cast<std::uint32_t>(readNumber(bytes, 12, 4));
  packet.flags = static_cast<std::uint8_t>(readNumber(bytes, 18, 1));
  packet.sequence = static_cast<std::uint32_t>(readNumber(bytes, 20, 4));
  packet.acknowledged = static_cast<std::uint32_t>(readNumber(bytes, 24, 4));
  packet.data = bytes.substr(Packet::kHeaderBytes);
  packet.isSumRight = readNumber(bytes, 28, 4) == packetSum(packet);
  return packet;
}

}

#endif
