/// \file
/// \brief Tests of the codec for the platform's packets and of the decoding of
/// its metadata store's items.

#include <platform/PacketCodec.h>
#include <platform/StoreItems.h>

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace buckthornwing;
using namespace buckthornwing::platform;

namespace {

/// \returns the example from the packet format's specification: an opening from
/// 100.64.0.7:40001 to 198.18.0.1:443.
std::vector<std::uint8_t>
openingBytes()
{
  return { 0x01, 0xbb, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00,
           0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x80, 0x00, 0x11, 0x22,
           0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5 };
}

/// \returns a packet of an open flow that carries data.
std::vector<std::uint8_t>
dataBytes(std::string_view data)
{
  std::vector<std::uint8_t> bytes = openingBytes();
  bytes[12] = 0xca;
  bytes[13] = 0xfe;
  bytes[17] = static_cast<std::uint8_t>(data.size());
  bytes[16] = static_cast<std::uint8_t>(data.size() >> 8);
  bytes[18] = 4;
  bytes.insert(bytes.end(), data.begin(), data.end());
  return bytes;
}

StoreItem
item(const std::string& key, const std::string& value)
{
  return { key, value, 9, 9, false };
}

const std::string kRegistration =
  R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"ktm-a",)"
  R"("version":"v1","slots":3,"state":"ready","warmup_left_ms":700,"seq":4,)"
  R"("born":1784156503021})";

}

Test(header, the_opening_of_the_published_example_is_parsed)
{
  CallerPacket packet;
  cr_assert(PacketCodec::parse(openingBytes(), packet) == PacketFault::none);
  cr_assert(packet.isOpening);
  cr_assert_eq(formatFlowKey(packet.flow),
               "tcp 100.64.0.7:40001 198.18.0.1:443");
  cr_assert_eq(packet.sequence, 0x11223344);
  cr_assert_eq(packet.openingCopyIndex, 0);
  cr_assert_eq(packet.tag.bits, 0);
}

Test(header, the_reset_matches_the_published_example)
{
  CallerPacket packet;
  PacketCodec::parse(openingBytes(), packet);
  const ResetDatagram expected{ 0x9c, 0x41, 0x01, 0xbb, 0xc6, 0x12, 0x00,
                                0x01, 0x64, 0x40, 0x00, 0x07, 0x00, 0x00,
                                0x00, 0x00, 0x00, 0x00, 0x40, 0x00 };
  cr_assert(PacketCodec::makeReset(packet) == expected);
}

Test(header,
     a_reset_of_an_open_flow_has_the_sequence_number_that_the_caller_expects)
{
  std::vector<std::uint8_t> bytes = dataBytes("x");
  bytes[24] = 0x01;
  bytes[27] = 0x02;
  CallerPacket packet;
  PacketCodec::parse(bytes, packet);
  const ResetDatagram reset = PacketCodec::makeReset(packet);
  cr_assert_eq(reset[20], 0x01);
  cr_assert_eq(reset[23], 0x02);
}

Test(header, a_forwarded_opening_has_the_target_prefix_and_the_flow_tag)
{
  const auto bytes = openingBytes();
  CallerPacket packet;
  PacketCodec::parse(bytes, packet);
  std::vector<std::uint8_t> out(PacketCodec::kMaxDatagramBytes);
  const auto sent = PacketCodec::writeForward(
    bytes, packet, 0x7f3a91c2, FlowTag{ 0x01020304 }, out);
  cr_assert_eq(sent.size(), bytes.size() + 8);
  const std::vector<std::uint8_t> number{ 0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2 };
  cr_assert(std::equal(number.begin(), number.end(), sent.begin()));
  std::vector<std::uint8_t> expected = bytes;
  expected[12] = 1;
  expected[13] = 2;
  expected[14] = 3;
  expected[15] = 4;
  cr_assert(std::equal(expected.begin(), expected.end(), sent.begin() + 8));
}

Test(header, a_data_packet_is_forwarded_unchanged_after_the_target_prefix)
{
  const auto bytes = dataBytes("GET / HTTP/1.1\r\n");
  CallerPacket packet;
  cr_assert(PacketCodec::parse(bytes, packet) == PacketFault::none);
  cr_assert_eq(packet.tag.bits, 0xcafe0000);
  std::vector<std::uint8_t> out(PacketCodec::kMaxDatagramBytes);
  const auto sent =
    PacketCodec::writeForward(bytes, packet, 1, FlowTag{ 5 }, out);
  cr_assert(std::equal(bytes.begin(), bytes.end(), sent.begin() + 8));
}

Test(header, an_invalid_datagram_is_rejected_with_its_fault)
{
  CallerPacket packet;
  auto bytes = openingBytes();
  bytes.pop_back();
  cr_assert(PacketCodec::parse(bytes, packet) == PacketFault::truncated);
  bytes = openingBytes();
  bytes[17] = 5;
  cr_assert(PacketCodec::parse(bytes, packet) == PacketFault::lengthMismatch);
  bytes = openingBytes();
  bytes[18] = 0x81;
  cr_assert(PacketCodec::parse(bytes, packet) == PacketFault::unknownFlags);
  for (const std::uint8_t flags : { 0x84, 0xc0, 0x88 }) {
    bytes[18] = flags;
    cr_assert(PacketCodec::parse(bytes, packet) == PacketFault::notFromCaller);
  }
}

Test(header, arbitrary_bytes_are_parsed_without_a_crash)
{
  const bool holds =
    rc::check("no crash", [](const std::vector<std::uint8_t>& bytes) {
      CallerPacket packet;
      if (PacketCodec::parse(bytes, packet) == PacketFault::none) {
        PacketCodec::requestId(packet.payload);
      }
    });
  cr_assert(holds);
}

Test(header, the_request_id_header_is_matched_case_insensitively)
{
  const std::string_view head =
    "GET /x HTTP/1.1\r\nHost: a\r\nrequest-id: 7f3a\r\nAccept: b\r\n\r\n";
  const std::span bytes(reinterpret_cast<const std::uint8_t*>(head.data()),
                        head.size());
  cr_assert_eq(PacketCodec::requestId(bytes), "7f3a");
  cr_assert_eq(PacketCodec::requestId(bytes.first(20)), "");
}

Test(items, a_registration_is_decoded)
{
  const TargetChange change =
    parseTarget(item("servers/i-7f3a91c2", kRegistration), 0);
  cr_assert(change.kind == ChangeKind::listed);
  cr_assert_eq(change.id, "i-7f3a91c2");
  cr_assert_eq(change.record.number, 0x7f3a91c2);
  cr_assert_eq(formatEndpoint(change.record.address), "10.128.0.9:8080");
  cr_assert_eq(change.record.labels.at("service"), "huvo11a");
  cr_assert_eq(change.record.slots, 3);
  cr_assert_eq(change.record.remainingWarmup.ms, 700);
  cr_assert_eq(change.record.incarnation, 1784156503021);
}

Test(items, a_registration_without_the_start_time_is_accepted)
{
  std::string text = kRegistration;
  text.replace(text.find(",\"born\""), std::string::npos, "}");
  const TargetChange change = parseTarget(item("servers/i-1", text), 0);
  cr_assert(change.kind == ChangeKind::listed);
  cr_assert_eq(change.record.incarnation, 0);
}

/// Targets that are cold for less than a millisecond more, or write the time as
/// a fraction: they aren't warm yet.
Test(items, a_fraction_of_the_remaining_warmup_is_rounded_up)
{
  const auto remaining = [](const std::string& number) {
    const std::size_t at = kRegistration.find("700");
    const std::string text =
      kRegistration.substr(0, at) + number + kRegistration.substr(at + 3);
    const TargetChange change = parseTarget(item("servers/i-1", text), 0);
    cr_assert(change.kind == ChangeKind::listed);
    return change.record.remainingWarmup.ms;
  };
  cr_assert_eq(remaining("700"), 700);
  cr_assert_eq(remaining("700.0"), 700);
  cr_assert_eq(remaining("700.2"), 701);
  cr_assert_eq(remaining("0.001"), 1);
  cr_assert_eq(remaining("0.0"), 0);
  cr_assert_eq(remaining("-0.5"), 0);
  cr_assert_eq(remaining("-3"), 0);
  cr_assert_eq(remaining("1e12"), 1'000'000'000);
}

/// Services whose cold targets bear few requests; without a rate that makes
/// sense nothing is limited.
Test(items, the_rate_of_cold_targets_is_decoded)
{
  const auto rateOf = [](const std::string& field) {
    const auto table = parseRoutes(item(
      "op/config",
      R"({"version":1,"routes":[],"services":[{"name":"a")" + field + "}]}"));
    cr_assert(table.has_value() && table->services.size() == 1);
    return table->services[0].warmupRate;
  };
  cr_assert_eq(rateOf(R"(,"warmup_per_s":2.5,"warmup_s":12)"), 2.5);
  cr_assert_eq(rateOf(R"(,"warmup_per_s":3)"), 3.0);
  cr_assert_eq(rateOf(""), 0.0);
  for (const char* text :
       { "0.0", "-1", "1e999", "1e7", "\"3\"", "null", "[3]", "true" }) {
    cr_assert_eq(
      rateOf(R"(,"warmup_per_s":)" + std::string(text)), 0.0, "%s", text);
  }
}

Test(items, an_invalid_registration_is_unreadable)
{
  const auto with = [](std::string_view from, std::string_view to) {
    std::string text = kRegistration;
    text.replace(text.find(from), from.size(), to);
    return parseTarget(item("servers/i-1", text), 0).kind;
  };
  cr_assert(with("\"ready\"", "\"resting\"") == ChangeKind::unreadable);
  cr_assert(with("\"ready\"", "7") == ChangeKind::unreadable);
  cr_assert(with("10.128.0.9:8080", "example.org:80") ==
            ChangeKind::unreadable);
  cr_assert(with("\"service\":\"huvo11a\",", "") == ChangeKind::unreadable);
  for (const char* field : { "\"version\":\"v1\",",
                             "\"slots\":3,",
                             "\"warmup_left_ms\":700,",
                             "\"seq\":4," }) {
    cr_assert(with(field, "") == ChangeKind::unreadable, "without %s", field);
  }
  for (const char* port : { ":0", ":65536", ":-1", ":1e3", ":", "" }) {
    cr_assert(with(":8080", port) == ChangeKind::unreadable, "port %s", port);
  }
  for (const char* number : { "1e999",
                              "18446744073709551616",
                              "-1",
                              "3.5",
                              "\"3\"",
                              "null",
                              "[3]" }) {
    cr_assert(with("\"slots\":3", "\"slots\":" + std::string(number)) ==
                ChangeKind::unreadable,
              "slots %s",
              number);
    cr_assert(with("1784156503021", number) == ChangeKind::unreadable,
              "born %s",
              number);
  }
  cr_assert(with("\"seq\":4", "\"seq\":\"4\"") == ChangeKind::unreadable);
  cr_assert(with("\"warmup_left_ms\":700", "\"warmup_left_ms\":{}") ==
            ChangeKind::unreadable);
  cr_assert(with("v1", std::string(600000, 'v')) == ChangeKind::unreadable);
  const std::string nested(100000, '[');
  cr_assert(with("\"v1\"", nested) == ChangeKind::unreadable);
  cr_assert(with("\"v1\"", nested + std::string(100000, ']')) ==
            ChangeKind::unreadable);
  cr_assert(parseTarget(item("servers/i-1", "\xff\xfe"), 0).kind ==
            ChangeKind::unreadable);
  cr_assert(parseTarget(item("servers/i-1", "[]"), 0).kind ==
            ChangeKind::unreadable);
  cr_assert(parseTarget(item("servers/i-xyz", kRegistration), 0).kind ==
            ChangeKind::unreadable);
  cr_assert(parseTarget(item("servers/i-0", kRegistration), 0).kind ==
              ChangeKind::unreadable,
            "the fabric delivers number 0 to any target at the address");
}

Test(items, a_configuration_is_decoded_and_its_invalid_routes_are_skipped)
{
  const auto table = parseRoutes(item("op/config",
                                      R"({"version":7,"routes":[
      {"name":"a","host":"198.18.0.1","prefix":"/8443/","route_type":"idempotent",
       "timeout_ms":3000,"aim_ms":250,"priority":2,
       "split":[{"service":"x","weight":90},{"service":"y","weight":10}]},
      {"name":"b","host":"example.org","prefix":"/80/","route_type":"download",
       "service":"x"},
      {"name":"c","host":"198.18.0.1","prefix":"80","route_type":"download",
       "service":"x"},
      {"name":"d","host":"198.18.0.1","prefix":"/80/","route_type":"new",
       "service":"nowhere"}, 5],
     "services":[{"name":"x","health_path":"/h"},{"name":"y"},{}],
     "limits":{"idle_timeout_ms":15000}})"));
  cr_assert(table.has_value());
  cr_assert_eq(table->version, 7);
  cr_assert_eq(table->routes.size(), 2);
  cr_assert_eq(table->skipped, 4);
  cr_assert_eq(table->routes[0].services[1].weight, 10);
  cr_assert_eq(table->routes[0].destination.port, 8443);
  cr_assert(table->routes[1].kind == RouteKind::nonIdempotent,
            "an unknown kind is treated as non-idempotent");
  cr_assert(table->routes[1].services.empty());
  cr_assert_eq(table->idleTimeout.ms, 15000);
}

Test(items, an_invalid_configuration_is_rejected)
{
  cr_assert_not(parseRoutes(item("op/config", "{}")).has_value());
  cr_assert_not(parseRoutes(item("op/config", "{\"version\":1")).has_value());
  cr_assert_not(parseRoutes(item("op/config", "")).has_value());
}

Test(items, store_responses_are_decoded)
{
  const auto response = parseStoreResponse(
    R"({"events":[{"key":"a","value":"aGk=","revision":412},
      {"key":"b","revision":413,"is_gone":true},{"revision":1}],"as_of":413})");
  cr_assert(response.has_value());
  cr_assert_eq(response->items.size(), 2);
  cr_assert_eq(response->items[0].value, "hi");
  cr_assert(response->items[1].isDeleted);
  cr_assert_eq(response->asOf, 413);
  cr_assert_not(parseStoreResponse(R"({"items":[)").has_value());
  cr_assert_not(parseStoreResponse(R"({"items":[]})").has_value());
}

/// Guards against one key of another writer that hides the whole response: a
/// listing would never end, and nothing that the operator writes would apply.
Test(items, a_key_that_is_not_utf_8_is_left_out_alone)
{
  const auto response = parseStoreResponse(
    "{\"items\":[{\"key\":\"op/config\",\"value\":\"aGk=\",\"revision\":4},"
    "{\"key\":\"op/evacuate/\xff\",\"value\":\"\",\"revision\":5}],"
    "\"as_of\":6,\"has_more\":true}");
  cr_assert(response.has_value());
  cr_assert_eq(response->items.size(), 1);
  cr_assert_eq(response->items[0].key, "op/config");
  cr_assert_eq(response->lastKey, "op/evacuate/\xff");
  cr_assert_eq(response->asOf, 6);
}

Test(items, a_value_that_is_not_base64_is_unreadable)
{
  const auto response = parseStoreResponse(
    R"({"items":[{"key":"servers/i-1","value":"%%%","revision":2}],"as_of":2})");
  cr_assert(parseTarget(response->items[0], 0).kind == ChangeKind::unreadable);
}
