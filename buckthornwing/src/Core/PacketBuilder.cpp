#include "PacketBuilder.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <netinet/icmp6.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

namespace buckthornwing {
namespace internal {

/// \brief IPv4 time to live and IPv6 hop limit of built packets.
constexpr std::uint8_t kHopLimit = 64;

template<typename Header>
void
appendHeader(std::vector<std::uint8_t>& bytes, const Header& header)
{
  const std::size_t offset = bytes.size();
  bytes.resize(offset + sizeof header);
  std::memcpy(&bytes[offset], &header, sizeof header);
}

/// \returns an IP packet with \a payload.
std::vector<std::uint8_t>
wrapInIp(const IpAddress& source,
         const IpAddress& destination,
         std::uint8_t protocol,
         PacketBytes payload)
{
  std::vector<std::uint8_t> bytes;
  if (source.isV4()) {
    iphdr header{};
    header.version = 4;
    header.ihl = sizeof header / 4;
    header.ttl = kHopLimit;
    header.protocol = protocol;
    header.tot_len =
      htons(static_cast<std::uint16_t>(sizeof header + payload.size()));
    std::memcpy(&header.saddr, &source.bytes[12], sizeof header.saddr);
    std::memcpy(&header.daddr, &destination.bytes[12], sizeof header.daddr);
    appendHeader(bytes, header);
    header.check = htons(internetChecksum(bytes));
    std::memcpy(bytes.data(), &header, sizeof header);
  } else {
    ip6_hdr header{};
    header.ip6_flow = htonl(std::uint32_t{ 6 } << 28U);
    header.ip6_plen = htons(static_cast<std::uint16_t>(payload.size()));
    header.ip6_nxt = protocol;
    header.ip6_hlim = kHopLimit;
    std::memcpy(&header.ip6_src, source.bytes.data(), source.bytes.size());
    std::memcpy(
      &header.ip6_dst, destination.bytes.data(), destination.bytes.size());
    appendHeader(bytes, header);
  }
  bytes.insert(bytes.end(), payload.begin(), payload.end());
  return bytes;
}

/// \returns the sum over the pseudo header of a transport checksum, without the
/// carries folded in.
std::uint32_t
pseudoHeaderSum(const IpAddress& source,
                const IpAddress& destination,
                std::uint8_t protocol,
                std::size_t size)
{
  std::uint32_t sum = protocol + static_cast<std::uint32_t>(size);
  const std::size_t start = source.isV4() ? 12 : 0;
  for (std::size_t i = start; i < source.bytes.size(); i += 2) {
    sum += static_cast<std::uint32_t>(source.bytes[i]) << 8U;
    sum += source.bytes[i + 1];
    sum += static_cast<std::uint32_t>(destination.bytes[i]) << 8U;
    sum += destination.bytes[i + 1];
  }
  return sum;
}

/// \brief Sets a transport segment's checksum and adds the IP header.
std::vector<std::uint8_t>
finishSegment(const FlowKey& key,
              std::vector<std::uint8_t> segment,
              std::size_t checksumOffset)
{
  const auto protocol = static_cast<std::uint8_t>(key.protocol);
  const std::uint32_t start = pseudoHeaderSum(
    key.source.address, key.destination.address, protocol, segment.size());
  const std::uint16_t checksum = htons(internetChecksum(segment, start));
  std::memcpy(&segment[checksumOffset], &checksum, sizeof checksum);
  return wrapInIp(
    key.source.address, key.destination.address, protocol, segment);
}

/// \brief Builds a TCP packet with the given sequence and acknowledgement
/// numbers.
std::vector<std::uint8_t>
buildTcpSegment(const FlowKey& key,
                TcpFlags flags,
                std::uint32_t sequence,
                std::uint32_t acknowledged,
                PacketBytes payload)
{
  tcphdr header{};
  header.source = htons(key.source.port);
  header.dest = htons(key.destination.port);
  header.seq = htonl(sequence);
  header.ack_seq = htonl(acknowledged);
  header.doff = sizeof header / 4;
  header.syn = flags.syn ? 1 : 0;
  header.ack = flags.ack ? 1 : 0;
  header.fin = flags.fin ? 1 : 0;
  header.rst = flags.rst ? 1 : 0;
  std::vector<std::uint8_t> segment;
  appendHeader(segment, header);
  segment.insert(segment.end(), payload.begin(), payload.end());
  return finishSegment(key, std::move(segment), offsetof(tcphdr, check));
}

/// \returns the sequence number of a TCP packet that parsePacket() accepted.
std::uint32_t
sequenceOf(PacketBytes packet, const FlowKey& key)
{
  std::size_t offset = sizeof(ip6_hdr);
  if (key.source.address.isV4()) {
    iphdr header;
    std::memcpy(&header, packet.data(), sizeof header);
    offset = header.ihl * std::size_t{ 4 };
  }
  tcphdr header;
  if (packet.size() < offset + sizeof header) {
    return 0;
  }
  std::memcpy(&header, packet.data() + offset, sizeof header);
  return ntohl(header.seq);
}

std::vector<std::uint8_t>
buildUnreachable(PacketBytes original, const FlowKey& key)
{
  // RFC 792 and RFC 4443: the error embeds the start of the packet that caused
  // it.
  constexpr std::size_t kMaxEmbeddedBytes = 512;
  const bool v4 = key.source.address.isV4();
  icmphdr header{};
  header.type = ICMP_DEST_UNREACH;
  header.code = ICMP_PORT_UNREACH;
  if (!v4) {
    header.type = ICMP6_DST_UNREACH;
    header.code = ICMP6_DST_UNREACH_NOPORT;
  }
  std::vector<std::uint8_t> message;
  appendHeader(message, header);
  const PacketBytes head =
    original.first(std::min(original.size(), kMaxEmbeddedBytes));
  message.insert(message.end(), head.begin(), head.end());
  const IpAddress& from = key.destination.address;
  const IpAddress& to = key.source.address;
  const std::uint32_t start =
    v4 ? 0 : pseudoHeaderSum(from, to, IPPROTO_ICMPV6, message.size());
  const std::uint16_t checksum = htons(internetChecksum(message, start));
  std::memcpy(
    &message[offsetof(icmphdr, checksum)], &checksum, sizeof checksum);
  const std::uint8_t protocol = v4 ? IPPROTO_ICMP : IPPROTO_ICMPV6;
  return wrapInIp(from, to, protocol, message);
}

}

std::vector<std::uint8_t>
buildTcpPacket(const FlowKey& key, TcpFlags flags, PacketBytes payload)
{
  return internal::buildTcpSegment(key, flags, 0, 0, payload);
}

std::vector<std::uint8_t>
buildUdpPacket(const FlowKey& key, PacketBytes payload)
{
  udphdr header{};
  header.source = htons(key.source.port);
  header.dest = htons(key.destination.port);
  header.len =
    htons(static_cast<std::uint16_t>(sizeof header + payload.size()));
  std::vector<std::uint8_t> segment;
  internal::appendHeader(segment, header);
  segment.insert(segment.end(), payload.begin(), payload.end());
  return internal::finishSegment(
    key, std::move(segment), offsetof(udphdr, check));
}

std::vector<std::uint8_t>
buildRefusal(PacketBytes original, const ParsedPacket& parsed)
{
  if (parsed.key.protocol == Protocol::udp) {
    return internal::buildUnreachable(original, parsed.key);
  }
  const FlowKey answer{ parsed.key.destination,
                        parsed.key.source,
                        Protocol::tcp };
  const TcpFlags flags{ .ack = true, .rst = true };
  const std::uint32_t next = internal::sequenceOf(original, parsed.key) + 1;
  return internal::buildTcpSegment(answer, flags, 0, next, {});
}

}
