#include "Packet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <netinet/icmp6.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <optional>

namespace buckthornwing {
namespace internal {

/// \brief Copies a protocol header from the start of \a bytes.
/// \returns the header, or nothing if \a bytes are too short
template<typename Header>
std::optional<Header>
readHeader(PacketBytes bytes)
{
  if (bytes.size() < sizeof(Header)) {
    return std::nullopt;
  }
  Header header;
  std::memcpy(&header, bytes.data(), sizeof header);
  return header;
}

/// \brief Fields of an IP packet that are needed to parse its transport header.
struct NetworkPart
{
  ParseFault fault = ParseFault::none;
  IpAddress source;
  IpAddress destination;
  std::uint8_t protocol = 0;
  PacketBytes payload;
};

IpAddress
addressFromV4(std::uint32_t networkOrder)
{
  IpAddress address;
  address.bytes[10] = 0xff;
  address.bytes[11] = 0xff;
  std::memcpy(&address.bytes[12], &networkOrder, sizeof networkOrder);
  return address;
}

IpAddress
addressFromV6(const in6_addr& value)
{
  IpAddress address;
  std::memcpy(address.bytes.data(), &value, sizeof value);
  return address;
}

/// \brief Whether a packet must be complete or may be cut off after its start,
/// as in an ICMP error.
enum class Completeness
{
  whole,
  prefix,
};

NetworkPart
parseV4(PacketBytes bytes, Completeness completeness)
{
  NetworkPart part;
  const auto header = readHeader<iphdr>(bytes);
  if (!header) {
    part.fault = ParseFault::truncated;
    return part;
  }
  const std::size_t headerSize = header->ihl * std::size_t{ 4 };
  const std::size_t totalSize = ntohs(header->tot_len);
  if (headerSize < sizeof(iphdr) || totalSize < headerSize) {
    part.fault = ParseFault::badHeader;
    return part;
  }
  const bool isTruncated = completeness == Completeness::whole
                             ? bytes.size() < totalSize
                             : bytes.size() < headerSize;
  if (isTruncated) {
    part.fault = ParseFault::truncated;
    return part;
  }
  if (completeness == Completeness::whole &&
      internetChecksum(bytes.first(headerSize)) != 0) {
    part.fault = ParseFault::badChecksum;
    return part;
  }
  constexpr std::uint16_t kMoreOrOffset = IP_MF | IP_OFFMASK;
  if ((ntohs(header->frag_off) & kMoreOrOffset) != 0) {
    part.fault = ParseFault::fragment;
    return part;
  }
  part.source = addressFromV4(header->saddr);
  part.destination = addressFromV4(header->daddr);
  part.protocol = header->protocol;
  const std::size_t end = std::min(totalSize, bytes.size());
  part.payload = bytes.subspan(headerSize, end - headerSize);
  return part;
}

/// \brief Skips IPv6 extension headers up to the transport header.
void
skipExtensions(NetworkPart& part)
{
  // Limits the work on malicious packets; others have one or two extensions.
  constexpr int kMaxExtensionHeaders = 8;
  for (int i = 0; i < kMaxExtensionHeaders; ++i) {
    if (part.protocol == IPPROTO_FRAGMENT) {
      part.fault = ParseFault::fragment;
      return;
    }
    const bool extension = part.protocol == IPPROTO_HOPOPTS ||
                           part.protocol == IPPROTO_ROUTING ||
                           part.protocol == IPPROTO_DSTOPTS;
    if (!extension) {
      return;
    }
    const auto header = readHeader<ip6_ext>(part.payload);
    const std::size_t size = header ? (header->ip6e_len + 1U) * 8U : 0;
    if (!header || part.payload.size() < size) {
      part.fault = ParseFault::truncated;
      return;
    }
    part.protocol = header->ip6e_nxt;
    part.payload = part.payload.subspan(size);
  }
  part.fault = ParseFault::badHeader;
}

NetworkPart
parseV6(PacketBytes bytes, Completeness completeness)
{
  NetworkPart part;
  const auto header = readHeader<ip6_hdr>(bytes);
  if (!header) {
    part.fault = ParseFault::truncated;
    return part;
  }
  const std::size_t payloadSize = ntohs(header->ip6_plen);
  const std::size_t present = bytes.size() - sizeof(ip6_hdr);
  if (completeness == Completeness::whole && present < payloadSize) {
    part.fault = ParseFault::truncated;
    return part;
  }
  part.source = addressFromV6(header->ip6_src);
  part.destination = addressFromV6(header->ip6_dst);
  part.protocol = header->ip6_nxt;
  part.payload = bytes.subspan(sizeof(ip6_hdr), std::min(payloadSize, present));
  skipExtensions(part);
  return part;
}

NetworkPart
parseNetwork(PacketBytes bytes, Completeness completeness)
{
  NetworkPart part;
  if (bytes.empty()) {
    part.fault = ParseFault::truncated;
    return part;
  }
  const unsigned version = bytes[0] >> 4U;
  if (version == 4) {
    return parseV4(bytes, completeness);
  }
  if (version == 6) {
    return parseV6(bytes, completeness);
  }
  part.fault = ParseFault::badVersion;
  return part;
}

/// \brief Ports in network byte order, the first fields of both TCP and UDP
/// headers.
struct PortPair
{
  std::uint16_t source;
  std::uint16_t destination;
};

bool
readPorts(const NetworkPart& part, FlowKey& key)
{
  const auto ports = readHeader<PortPair>(part.payload);
  if (!ports) {
    return false;
  }
  key.source = Endpoint{ part.source, ntohs(ports->source) };
  key.destination = Endpoint{ part.destination, ntohs(ports->destination) };
  return true;
}

void
parseTcp(const NetworkPart& part, ParsedPacket& packet)
{
  const auto header = readHeader<tcphdr>(part.payload);
  if (!header || !readPorts(part, packet.key)) {
    packet.fault = ParseFault::truncated;
    return;
  }
  const std::size_t headerSize = header->doff * std::size_t{ 4 };
  if (headerSize < sizeof(tcphdr) || headerSize > part.payload.size()) {
    packet.fault = ParseFault::badHeader;
    return;
  }
  packet.key.protocol = Protocol::tcp;
  if (header->fin != 0 || header->rst != 0) {
    packet.kind = PacketKind::closing;
  } else if (header->syn != 0 && header->ack == 0) {
    packet.kind = PacketKind::opening;
  }
}

void
parseUdp(const NetworkPart& part, ParsedPacket& packet)
{
  const auto header = readHeader<udphdr>(part.payload);
  if (!header || !readPorts(part, packet.key)) {
    packet.fault = ParseFault::truncated;
    return;
  }
  packet.key.protocol = Protocol::udp;
  packet.kind = PacketKind::datagram;
}

bool
isIcmpError(const NetworkPart& part)
{
  if (part.payload.empty()) {
    return false;
  }
  const std::uint8_t type = part.payload[0];
  if (part.protocol == IPPROTO_ICMP) {
    return type == ICMP_DEST_UNREACH || type == ICMP_TIME_EXCEEDED ||
           type == ICMP_PARAMETERPROB;
  }
  constexpr std::uint8_t kFirstInformational = ICMP6_INFOMSG_MASK;
  return type < kFirstInformational;
}

/// \brief Parses the flow key of the packet that is embedded in an ICMP error.
/// The key is reversed, because the embedded packet was sent by the target.
void
parseIcmpError(const NetworkPart& outer, ParsedPacket& packet)
{
  if (outer.payload.size() < sizeof(icmphdr)) {
    packet.fault = ParseFault::truncated;
    return;
  }
  const PacketBytes embedded = outer.payload.subspan(sizeof(icmphdr));
  const NetworkPart inner = parseNetwork(embedded, Completeness::prefix);
  if (inner.fault != ParseFault::none) {
    packet.fault = inner.fault;
    return;
  }
  const bool balanced =
    inner.protocol == IPPROTO_TCP || inner.protocol == IPPROTO_UDP;
  if (!balanced) {
    packet.fault = ParseFault::unsupportedProtocol;
    return;
  }
  FlowKey embeddedKey;
  if (!readPorts(inner, embeddedKey)) {
    packet.fault = ParseFault::truncated;
    return;
  }
  packet.kind = PacketKind::icmpError;
  packet.key.source = embeddedKey.destination;
  packet.key.destination = embeddedKey.source;
  packet.key.protocol = static_cast<Protocol>(inner.protocol);
}

}

ParsedPacket
parsePacket(PacketBytes bytes)
{
  ParsedPacket packet;
  const internal::NetworkPart part =
    internal::parseNetwork(bytes, internal::Completeness::whole);
  if (part.fault != ParseFault::none) {
    packet.fault = part.fault;
    return packet;
  }
  const bool icmp =
    part.protocol == IPPROTO_ICMP || part.protocol == IPPROTO_ICMPV6;
  if (part.protocol == IPPROTO_TCP) {
    internal::parseTcp(part, packet);
  } else if (part.protocol == IPPROTO_UDP) {
    internal::parseUdp(part, packet);
  } else if (icmp && internal::isIcmpError(part)) {
    internal::parseIcmpError(part, packet);
  } else {
    packet.fault = ParseFault::unsupportedProtocol;
  }
  return packet;
}

std::string_view
parseFaultName(ParseFault fault)
{
  switch (fault) {
    case ParseFault::none:
      return "none";
    case ParseFault::truncated:
      return "truncated";
    case ParseFault::badVersion:
      return "bad_version";
    case ParseFault::badHeader:
      return "bad_header";
    case ParseFault::badChecksum:
      return "bad_checksum";
    case ParseFault::fragment:
      return "fragment";
    case ParseFault::unsupportedProtocol:
      return "unsupported_protocol";
  }
  return "unknown";
}

std::uint16_t
internetChecksum(PacketBytes bytes, std::uint32_t start)
{
  std::uint32_t sum = start;
  std::size_t i = 0;
  for (; i + 1 < bytes.size(); i += 2) {
    sum += static_cast<std::uint32_t>(bytes[i]) << 8U | bytes[i + 1];
  }
  if (i < bytes.size()) {
    sum += static_cast<std::uint32_t>(bytes[i]) << 8U;
  }
  while ((sum >> 16U) != 0) {
    sum = (sum & 0xffffU) + (sum >> 16U);
  }
  return static_cast<std::uint16_t>(~sum);
}

}
