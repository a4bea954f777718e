/// \file
/// \brief Tests of the Core module.

#include <Core>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <arpa/inet.h>
#include <netinet/ip.h>

using namespace buckthornwing;

namespace {

FlowKey
keyOf(const char* text)
{
  const auto key = parseFlowKey(text);
  cr_assert(key.has_value(), "%s", text);
  return *key;
}

const char* const kV4 = "tcp 198.51.100.7:40001 203.0.113.10:443";
const char* const kV6 = "tcp [2001:db8::7]:40001 [2001:db8::10]:443";

rc::Gen<FlowKey>
anyFlowKey()
{
  return rc::gen::map(rc::gen::tuple(rc::gen::arbitrary<bool>(),
                                     rc::gen::arbitrary<bool>(),
                                     rc::gen::arbitrary<std::uint32_t>(),
                                     rc::gen::arbitrary<std::uint16_t>(),
                                     rc::gen::arbitrary<std::uint16_t>()),
                      [](const auto& parts) {
                        const auto& [v4, tcp, host, from, to] = parts;
                        FlowKey key = keyOf(v4 ? kV4 : kV6);
                        for (unsigned i = 0; i < 4; ++i) {
                          key.source.address.bytes[12 + i] =
                            static_cast<std::uint8_t>(host >> (8 * i));
                        }
                        key.source.port = from;
                        key.destination.port = to;
                        key.protocol = tcp ? Protocol::tcp : Protocol::udp;
                        return key;
                      });
}

}

Test(flow_key, formatted_key_is_parsed_to_the_same_key)
{
  cr_assert(rc::check("format, then parse", [] {
    const FlowKey key = *anyFlowKey();
    RC_ASSERT(parseFlowKey(formatFlowKey(key)) == key);
  }));
}

Test(flow_key, malformed_text_is_rejected)
{
  for (const char* text : { "",
                            "tcp",
                            "icmp 1.2.3.4:1 1.2.3.4:2",
                            "tcp 1.2.3.4 1.2.3.4:2",
                            "tcp 1.2.3.4:99999 1.2.3.4:2",
                            "tcp 1.2.3.4:1 [::1]:2",
                            "tcp ::1:1 ::1:2" }) {
    cr_assert_not(parseFlowKey(text).has_value(), "%s", text);
  }
}

Test(packet, built_packet_is_parsed_to_the_same_key)
{
  cr_assert(rc::check("build, then parse", [] {
    const FlowKey key = *anyFlowKey();
    const auto payload = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    const bool syn = *rc::gen::arbitrary<bool>();
    const auto bytes = key.protocol == Protocol::tcp
                         ? buildTcpPacket(key, { .syn = syn }, payload)
                         : buildUdpPacket(key, payload);
    const ParsedPacket packet = parsePacket(bytes);
    RC_ASSERT(packet.fault == ParseFault::none);
    RC_ASSERT(packet.key == key);
    if (key.protocol == Protocol::udp) {
      RC_ASSERT(packet.kind == PacketKind::datagram);
    } else {
      RC_ASSERT(packet.kind ==
                (syn ? PacketKind::opening : PacketKind::otherSegment));
    }
  }));
}

Test(packet, truncated_packet_is_rejected_at_every_length)
{
  for (const char* text : { kV4, kV6 }) {
    const auto bytes = buildTcpPacket(keyOf(text), { .syn = true }, {});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      const ParsedPacket packet = parsePacket(std::span(bytes).first(size));
      cr_assert(packet.fault != ParseFault::none, "%zu bytes", size);
    }
  }
}

Test(packet, arbitrary_bytes_are_parsed_safely)
{
  cr_assert(rc::check("arbitrary bytes", [] {
    auto bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    const ParsedPacket packet = parsePacket(bytes);
    // An accepted packet must have a valid flow key.
    if (packet.fault == ParseFault::none) {
      RC_ASSERT(parseFlowKey(formatFlowKey(packet.key)) == packet.key);
    }
  }));
}

Test(packet, wrong_header_checksum_is_rejected)
{
  auto bytes = buildTcpPacket(keyOf(kV4), { .syn = true }, {});
  bytes[10] ^= 1;
  cr_assert(parsePacket(bytes).fault == ParseFault::badChecksum);
}

Test(packet, fragment_is_rejected_as_a_fragment)
{
  auto bytes = buildTcpPacket(keyOf(kV4), { .ack = true }, {});
  iphdr header;
  std::memcpy(&header, bytes.data(), sizeof header);
  header.frag_off = htons(IP_MF);
  header.check = 0;
  std::memcpy(bytes.data(), &header, sizeof header);
  header.check = htons(internetChecksum(std::span(bytes).first(sizeof header)));
  std::memcpy(bytes.data(), &header, sizeof header);
  cr_assert(parsePacket(bytes).fault == ParseFault::fragment);
}

Test(packet, fin_and_rst_segments_are_closing)
{
  const FlowKey key = keyOf(kV4);
  const auto fin = buildTcpPacket(key, { .ack = true, .fin = true }, {});
  const auto rst = buildTcpPacket(key, { .rst = true }, {});
  cr_assert(parsePacket(fin).kind == PacketKind::closing);
  cr_assert(parsePacket(rst).kind == PacketKind::closing);
}

Test(packet, icmp_error_has_the_key_of_the_embedded_flow)
{
  for (const char* text : { kV4, kV6 }) {
    // A router on the path to the caller rejects a packet from the target.
    FlowKey key = keyOf(text);
    const FlowKey answer{ key.destination, key.source, Protocol::udp };
    const auto original = buildUdpPacket(answer, {});
    const auto error = buildRefusal(original, parsePacket(original));
    const ParsedPacket packet = parsePacket(error);
    cr_assert(packet.fault == ParseFault::none, "%s", text);
    cr_assert(packet.kind == PacketKind::icmpError);
    cr_assert(packet.key.source == key.source);
    cr_assert(packet.key.destination == key.destination);
  }
}

Test(packet, refused_tcp_opening_is_answered_with_a_reset)
{
  const FlowKey key = keyOf(kV4);
  const auto opening = buildTcpPacket(key, { .syn = true }, {});
  const auto answer = buildRefusal(opening, parsePacket(opening));
  const ParsedPacket packet = parsePacket(answer);
  cr_assert(packet.kind == PacketKind::closing);
  cr_assert(packet.key.source == key.destination);
  cr_assert(packet.key.destination == key.source);
}

Test(token_bucket, taken_tokens_never_exceed_rate_and_burst)
{
  cr_assert(rc::check("bounded", [] {
    TokenBucket bucket;
    bucket.configure(10, 5);
    const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
    MilliTime now{};
    int taken = 0;
    for (const int step : steps) {
      now = now + MilliDuration{ step };
      taken += bucket.take(1, now) ? 1 : 0;
      RC_ASSERT(taken <= 5 + now.ms / 100 + 1);
    }
  }));
}
