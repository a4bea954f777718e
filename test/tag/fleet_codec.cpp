/// \file
/// \brief Tests of the encoding of messages between instances: malformed and
/// malicious bytes, lost parts, and exact round trips of views.

#include "TagFixture.h"

#include <Fleet>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>
#include <limits>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

Test(fleet_codec, messages_of_another_fleet_and_replays_are_refused)
{
  FleetMessage message;
  message.sender.id = "entry-1";
  message.sender.address = *parseEndpoint("127.0.0.1:7");
  message.body = ViewRequest{ ViewContent::routes, 4, 0, 0 };
  FleetCodec ours(deriveFleetKey("the secret of this fleet"));
  FleetCodec theirs(deriveFleetKey("the secret of another"));
  FleetCodec receiver(deriveFleetKey("the secret of this fleet"));
  FleetMessage opened;
  cr_assert(receiver.open(theirs.seal(message), opened) ==
            PeerFault::notAuthentic);
  const auto datagram = ours.seal(message);
  cr_assert(receiver.open(datagram, opened) == PeerFault::none);
  cr_assert_eq(std::get<ViewRequest>(opened.body).have, 4);
  cr_assert(receiver.open(datagram, opened) == PeerFault::replayed);
}

Test(fleet_codec, views_are_unchanged_after_encoding_and_decoding)
{
  ViewUpdate update;
  update.view.targetsRevision = 12;
  update.view.routesAge = 34_ms;
  update.targetsBase = 5;
  update.targets = { listed(1, 7), gone(2, 8) };
  RouteIndex index;
  index.apply(twoRoutes(3));
  update.routes = index.changesSince(0);
  const std::string bytes = encodeViewUpdate(update);
  const auto decoded = decodeViewUpdate(
    { reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size() });
  cr_assert(decoded.has_value());
  cr_assert(decoded->targets[0].record == update.targets[0].record);
  cr_assert(decoded->targets[1].kind == ChangeKind::gone);
  cr_assert(decoded->routes->routes == twoRoutes(3).routes);
  cr_assert_eq(decoded->routes->services[1].name, "sheets");
  cr_assert_eq(decoded->view.routesAge.ms, 34);
}

/// Answers a peer of another version that sends any rate for cold targets.
Test(fleet_codec, an_implausible_rate_of_cold_targets_is_not_taken_over)
{
  const auto rateAfterCoding = [](double rate) {
    RouteTable table = twoRoutes(3);
    table.services[0].warmupRate = rate;
    RouteIndex index;
    index.apply(table);
    ViewUpdate update;
    update.routes = index.changesSince(0);
    const std::string bytes = encodeViewUpdate(update);
    const auto decoded = decodeViewUpdate(
      { reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size() });
    cr_assert(decoded.has_value());
    return decoded->routes->services[0].warmupRate;
  };
  cr_assert_eq(rateAfterCoding(0.5), 0.5);
  cr_assert_eq(rateAfterCoding(1e6), 1e6);
  for (const double odd : { -1.0,
                            1e6 + 1,
                            std::numeric_limits<double>::infinity(),
                            std::numeric_limits<double>::quiet_NaN() }) {
    cr_assert_eq(rateAfterCoding(odd), 0);
  }
}

namespace {

const Endpoint kSender = *parseEndpoint("127.0.0.1:7");

/// \brief Transfers an update in windows.
/// \param loses returns whether the next part is lost
/// \returns the received update; nothing if it is incomplete after 400 rounds
template<typename Loses>
std::optional<std::string>
fetch(const std::string& encoded, Loses loses)
{
  IncomingTransfers incoming(ViewContent::routes);
  MilliTime now{ 1000 };
  std::deque<ViewRequest> requests{ { ViewContent::routes, 0, 8, 0 } };
  for (int round = 0; round < 400; ++round) {
    while (!requests.empty()) {
      const ViewRequest request = requests.front();
      requests.pop_front();
      for (const ViewPart& part :
           splitWindow(encoded, ViewContent::routes, 8, request.offset)) {
        if (loses()) {
          continue;
        }
        auto progress = incoming.add(kSender, part, now);
        if (progress.whole) {
          return progress.whole;
        }
        if (progress.next) {
          requests.push_back(*progress.next);
        }
      }
    }
    now = now + 200_ms;
    for (const auto& [sender, request] : incoming.repeatRequests(now)) {
      requests.push_back(request);
    }
  }
  return std::nullopt;
}

}

Test(fleet_codec, a_large_update_is_fetched_window_by_window)
{
  std::string encoded;
  for (int i = 0; i < 130000; ++i) {
    encoded += static_cast<char>('a' + i % 23);
  }
  std::size_t most = 0;
  for (std::size_t at = 0; at < encoded.size(); at += kViewWindowBytes) {
    most =
      std::max(most, splitWindow(encoded, ViewContent::routes, 8, at).size());
  }
  cr_assert_leq(most, kViewWindowParts);
  cr_assert(fetch(encoded, [] { return false; }) == encoded);
  Random random{ 4 };
  cr_assert(fetch(encoded, [&] { return random.unit() < 0.2; }) == encoded);
}

Test(fleet_codec, a_transfer_without_further_parts_is_dropped)
{
  IncomingTransfers incoming(ViewContent::routes);
  incoming.add(
    kSender,
    splitWindow(std::string(9000, 'x'), ViewContent::routes, 1, 0)[0],
    {});
  cr_assert(incoming.isFetching());
  for (int i = 1; i < 30; ++i) {
    incoming.repeatRequests(MilliTime{ i * 200 });
  }
  cr_assert_not(incoming.isFetching());
}

Test(fleet_codec, only_some_large_updates_are_served_at_a_time)
{
  OutgoingTransfers outgoing;
  const std::string large(kViewWindowBytes + 1, 'x');
  int taken = 0;
  for (int i = 0; i < 10; ++i) {
    taken += outgoing.add(large, MilliTime{ 5 }) ? 1 : 0;
  }
  cr_assert_eq(taken, 4);
  cr_assert(outgoing.add("small", MilliTime{ 5 }).has_value());
  cr_assert(outgoing.add(large, MilliTime{ 2000 }).has_value());
}

Test(fleet_codec,
     liveness_and_event_stamps_are_unchanged_after_encoding_and_decoding)
{
  FleetMessage message;
  message.sender.id = "entry-1";
  message.sender.zone = "a";
  message.sender.address = *parseEndpoint("127.0.0.1:7001");
  message.sender.hasView = true;
  FleetHeartbeat heartbeat;
  heartbeat.view.targetsConfirmation = { 0xfffffffe, 5000 };
  heartbeat.view.routesConfirmation = { 7, 6000 };
  heartbeat.view.storeFailure = { 8, 7000 };
  heartbeat.liveness = { { 0xdeadbeef, 80_ms }, { 1, 999_s } };
  message.body = heartbeat;
  const std::string bytes = encodeFleetMessage(message);
  FleetMessage decoded;
  cr_assert(decodeFleetMessage(
    { reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size() },
    decoded));
  cr_assert(decoded.sender.hasView);
  const auto& got = std::get<FleetHeartbeat>(decoded.body);
  cr_assert(got.view.targetsConfirmation == heartbeat.view.targetsConfirmation);
  cr_assert(got.view.routesConfirmation == heartbeat.view.routesConfirmation);
  cr_assert(got.view.storeFailure == heartbeat.view.storeFailure);
  cr_assert_eq(got.liveness.size(), 2);
  cr_assert_eq(got.liveness[0].key, 0xdeadbeef);
  cr_assert_gt(got.liveness[0].sinceHeard.ms, 80, "encoding lowers no age");
  cr_assert_gt(got.liveness[1].sinceHeard.ms, FleetMembers::kMemberTimeout.ms);
}

Test(fleet_codec, an_event_is_accepted_once)
{
  EventFilter filter;
  cr_assert_not(filter.accept({}));
  cr_assert(filter.accept({ 3, 100 }));
  cr_assert_not(filter.accept({ 3, 100 }));
  cr_assert_not(filter.accept({ 3, 90 }));
  cr_assert(filter.accept({ 4, 90 }));
  cr_assert(filter.accept({ 3, 101 }));
}

/// Guards against an instance that serves at most four large updates in 400 ms,
/// however fast its link is, because completed ones still count.
Test(fleet_codec, a_completed_update_does_not_block_the_next)
{
  OutgoingTransfers outgoing;
  const std::string large(kViewWindowBytes + 1, 'x');
  for (int i = 0; i < 10; ++i) {
    const auto transfer = outgoing.add(large, MilliTime{ 5 });
    cr_assert(transfer.has_value());
    cr_assert_not_null(outgoing.find(*transfer, 0, MilliTime{ 6 }));
    cr_assert_not_null(
      outgoing.find(*transfer, kViewWindowBytes, MilliTime{ 7 }));
  }
}

Test(fleet_codec, a_part_with_invalid_size_or_offset_is_refused)
{
  IncomingTransfers transfers(ViewContent::routes);
  for (const ViewPart& part :
       { ViewPart{ ViewContent::routes, 1, 0, 0x7fffffff, "a" },
         ViewPart{ ViewContent::routes, 1, 1200, 4, "abc" },
         ViewPart{ ViewContent::routes, 1, 0, 0, "" },
         ViewPart{ ViewContent::routes, 1, 7, 90, "abc" } }) {
    cr_assert_not(transfers.add(kSender, part, {}).whole.has_value());
    cr_assert_not(transfers.isFetching());
  }
}

Test(fleet_codec, any_bytes_are_decoded_or_refused)
{
  const bool holds =
    rc::check("no crash", [](const std::vector<std::uint8_t>& bytes) {
      FleetMessage message;
      decodeFleetMessage(bytes, message);
      decodeViewUpdate(bytes);
    });
  cr_assert(holds);
}
