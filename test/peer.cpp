/// \file
/// \brief Tests of the Peer module: encoding and authentication of messages,
/// the replay window and flow records.

#include <Peer>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace buckthornwing;

namespace {

PeerMessage
sampleMessage()
{
  FlowBatch batch;
  batch.sequence = 7;
  batch.purpose = BatchPurpose::away;
  batch.service = 0xdeadbeef;
  batch.targets = { 1, 0xffffffff };
  packFlowRecord({ FlowId{ 0x123456789abc }, 1, MilliDuration{ 5000 } },
                 batch.records);
  return { { memberTag("entry-1"), 3, Phase::live, 42, 9 }, batch };
}

}

// Guards against a field that is not encoded, or decoded into another one.
Test(codec, each_kind_of_message_is_the_same_after_decoding)
{
  MemberUpdate update;
  update.id = "entry-2";
  update.address = *parseEndpoint("127.0.0.1:7001");
  const std::vector<PeerBody> bodies{
    Probe{ ProbeKind::pingRequest, 5, 6, { update } },
    Relay{ { 1, 2 }, { 0x45, 0, 1 } },
    std::get<FlowBatch>(sampleMessage().body),
    Acknowledgement{ { 1, 0xffffffff } },
    BucketStates{ 3, 42, 1, 2, { { 8, "abc" } }, "s" },
    StatesRequest{},
    OwnershipTransfer{ 4, true, "xyz" },
    LoadSummary{ 42, "ab", "c" },
    ConfigurationRequest{ 41, 42, 1100 },
    ConfigurationPart{ 41, 42, 1100, 2200, "text" },
  };
  for (const PeerBody& body : bodies) {
    const PeerMessage sent{ { 0, 3, Phase::live, 42, 9 }, body };
    const std::string bytes = encodeEnvelope(sent);
    PeerMessage received;
    cr_assert(decodeEnvelope(
      { reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size() },
      received));
    cr_assert_eq(received.body.index(), body.index());
    cr_assert(encodeEnvelope(received) == bytes);
  }
}

Test(codec, a_message_authenticated_with_another_key_is_rejected)
{
  PeerCodec receiver(deriveFleetKey("the fleet's secret"), 1);
  PeerCodec otherFleet(deriveFleetKey("another secret"), 1);
  PeerMessage message;
  cr_assert(receiver.open(otherFleet.seal(sampleMessage()), message) ==
            PeerFault::notAuthentic);
}

Test(codec, a_replayed_message_is_rejected_and_a_reordered_one_is_accepted)
{
  const FleetKey key = deriveFleetKey("the fleet's secret");
  PeerCodec sender(key, 1000);
  PeerCodec receiver(key, 1);
  const auto first = sender.seal(sampleMessage());
  const auto second = sender.seal(sampleMessage());
  PeerMessage message;
  cr_assert(receiver.open(second, message) == PeerFault::none);
  cr_assert(receiver.open(first, message) == PeerFault::none);
  cr_assert(receiver.open(first, message) == PeerFault::replayed);
  cr_assert(receiver.open(second, message) == PeerFault::replayed);
}

Test(codec, a_changed_or_truncated_datagram_is_rejected)
{
  const FleetKey key = deriveFleetKey("the fleet's secret");
  PeerCodec sender(key, 1000);
  PeerCodec receiver(key, 1);
  const auto datagram = sender.seal(sampleMessage());
  for (std::size_t i = 0; i < datagram.size(); ++i) {
    auto changed = datagram;
    changed[i] ^= 0x10;
    PeerMessage message;
    cr_assert(
      receiver.open(changed, message) != PeerFault::none, "byte %zu", i);
  }
  for (std::size_t size = 0; size < datagram.size(); ++size) {
    PeerMessage message;
    cr_assert(receiver.open(std::span(datagram).first(size), message) !=
              PeerFault::none);
  }
}

Test(codec, arbitrary_bytes_are_decoded_without_a_crash)
{
  cr_assert(rc::check("arbitrary bytes", [] {
    const auto bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    PeerMessage message;
    if (decodeEnvelope(bytes, message)) {
      RC_ASSERT(!encodeEnvelope(message).empty());
    }
  }));
}

Test(replay_window, accepts_each_counter_in_the_window_once)
{
  cr_assert(rc::check("comparison with all received counters", [] {
    const auto counters = *rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::inRange<std::uint64_t>(1, 200));
    ReplayWindow window;
    std::vector<std::uint64_t> received;
    std::uint64_t newest = 0;
    for (const std::uint64_t counter : counters) {
      const bool known =
        std::find(received.begin(), received.end(), counter) != received.end();
      const bool tooOld = counter + ReplayWindow::kWidth <= newest;
      RC_ASSERT(window.accept(counter) == (!known && !tooOld));
      received.push_back(counter);
      newest = std::max(newest, counter);
    }
  }));
}

Test(records, are_the_same_after_decoding_except_for_a_rounded_age)
{
  cr_assert(rc::check("pack, then unpack", [] {
    const auto bits = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 48U);
    const auto age = *rc::gen::inRange<std::int64_t>(0, 100000000);
    std::string packed;
    packFlowRecord({ FlowId{ bits }, 3, MilliDuration{ age } }, packed);
    RC_ASSERT(packed.size() == kFlowRecordBytes);
    const auto records = unpackFlowRecords(packed);
    RC_ASSERT(records.has_value());
    RC_ASSERT(records->front().flow.bits == bits);
    RC_ASSERT(records->front().target == 3);
    const auto decodedAge = static_cast<double>(records->front().age.ms);
    RC_ASSERT(decodedAge <= static_cast<double>(age) + 1);
    RC_ASSERT(decodedAge >= static_cast<double>(age) * 0.9 - 1);
  }));
  cr_assert_not(unpackFlowRecords("1234567").has_value());
}

Test(records, numbers_are_the_same_after_decoding)
{
  cr_assert(rc::check("pack, then unpack", [] {
    auto numbers = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
    std::sort(numbers.begin(), numbers.end());
    RC_ASSERT(unpackAscending(packAscending(numbers)) == numbers);
    RC_ASSERT(unpackNumbers(packNumbers(numbers)) == numbers);
  }));
  cr_assert_not(unpackNumbers("\xff\xff\xff\xff\xff\xff").has_value());
  cr_assert_not(unpackNumbers("\x80").has_value());
}
