/// \file
/// \brief Tests of the decisions of a single engine, and of configuration
/// deltas, the lifecycle and the owner table.

#include <Config>
#include <Core>
#include <Distribution>
#include <Engine>

#include <criterion/criterion.h>

#include <algorithm>

using namespace buckthornwing;
using namespace buckthornwing::literals;

namespace {

std::string
makeDocument(std::uint64_t revision,
             const std::string& selector,
             const std::string& stateOfFirst = "serving",
             const std::string& limits = "")
{
  std::string targets;
  for (int i = 0; i < 4; ++i) {
    targets += (i == 0 ? "" : ",");
    targets +=
      R"({"id":"t-)" + std::to_string(i) +
      R"(","address":"127.0.0.1","tunnel_port":)" + std::to_string(6000 + i) +
      R"(,"zone":"z","labels":{"app":"a","n":")" + std::to_string(i) +
      R"("},"state":")" + (i == 0 ? stateOfFirst : "serving") + R"("})";
  }
  return R"({"revision":)" + std::to_string(revision) +
         R"(,"hash_seed":"ab","services":[{"name":"a","addresses":["203.0.113.1"],)"
         R"("protocol":"tcp","ports":[443],"selector":")" +
         selector + "\"" + limits + R"(}],"targets":[)" + targets + "]}";
}

/// \brief An engine without peers, with a clock that the test advances.
struct SingleEngine
{
  MilliTime now{};
  Engine engine;

  explicit SingleEngine(const std::string& text = makeDocument(1, "app=a"))
    : engine(settings(), 1, 1, MilliTime{})
  {
    this->engine.onConfiguration(text, this->now);
    this->run(6_s);
  }

  static EngineSettings settings()
  {
    EngineSettings settings;
    settings.id = "entry-1";
    settings.zone = "z";
    settings.peerAddress = *parseEndpoint("127.0.0.1:7001");
    return settings;
  }

  void run(MilliDuration span)
  {
    const MilliTime end = this->now + span;
    while (this->now < end) {
      this->now = this->now + kTickPeriod;
      this->engine.tick(this->now);
      this->engine.outbox().clear();
    }
  }

  Decision send(int caller, TcpFlags flags)
  {
    FlowKey key = *parseFlowKey("tcp 10.0.0.1:1000 203.0.113.1:443");
    key.source.port = static_cast<std::uint16_t>(1000 + caller);
    return this->engine.onPacket(buildTcpPacket(key, flags, {}), this->now);
  }

  std::string targetOf(const Decision& decision)
  {
    cr_assert(decision.outcome == Outcome::forward);
    return this->engine.blackboard().targets[decision.target].config.id;
  }
};

constexpr TcpFlags kOpening{ .syn = true };
constexpr TcpFlags kEstablished{ .ack = true };

}

/// \brief Guards against draining moving open flows, or placing new ones on the
/// draining target.
Test(engine, a_flow_keeps_its_target_through_a_drain)
{
  SingleEngine single;
  std::vector<std::string> before;
  for (int i = 0; i < 200; ++i) {
    before.push_back(single.targetOf(single.send(i, kOpening)));
  }
  single.engine.onConfiguration(makeDocument(2, "app=a", "draining"),
                                single.now);
  single.run(4_s);
  for (int i = 0; i < 200; ++i) {
    const std::string target = single.targetOf(single.send(i, kEstablished));
    cr_assert_str_eq(target.c_str(), before[i].c_str());
  }
  for (int i = 200; i < 400; ++i) {
    const std::string target = single.targetOf(single.send(i, kOpening));
    cr_assert_str_neq(target.c_str(), "t-0");
  }
}

/// \brief Guards against placing an opening anew when it is retransmitted.
Test(engine, a_retransmitted_opening_goes_to_the_same_target)
{
  SingleEngine single;
  for (int i = 0; i < 100; ++i) {
    const std::string first = single.targetOf(single.send(i, kOpening));
    const std::string again = single.targetOf(single.send(i, kOpening));
    cr_assert_str_eq(first.c_str(), again.c_str());
  }
  cr_assert_eq(single.engine.blackboard().counters.placed, 100);
}

/// \brief Guards against adopting an older or malformed document.
Test(engine, a_lower_revision_is_never_adopted)
{
  SingleEngine single(makeDocument(5, "app=a"));
  cr_assert(
    single.engine.onConfiguration(makeDocument(4, "app=b"), single.now) ==
    AdoptOutcome::alreadyKnown);
  cr_assert(single.engine.onConfiguration("{", single.now) ==
            AdoptOutcome::refused);
  cr_assert_eq(single.engine.blackboard().view.revision, 5);
  cr_assert_eq(single.engine.blackboard().services[0].serving.size(), 4);
}

/// \brief Guards against an invalid selector taking a service's targets away.
Test(engine, an_invalid_selector_keeps_the_last_valid_one_in_use)
{
  SingleEngine single(makeDocument(1, "app=a,n!=3"));
  cr_assert(single.engine.onConfiguration(makeDocument(2, "app in ("),
                                          single.now) == AdoptOutcome::adopted);
  const Service& service = single.engine.blackboard().services[0];
  cr_assert(service.selectorInvalid);
  cr_assert_eq(service.serving.size(), 3);
  cr_assert_eq(single.engine.configurationProblems().size(), 1);
}

/// \brief Guards against refusing a flow that has a target: a previous owner
/// may have forwarded the same opening a moment ago.
Test(engine, an_opening_is_refused_only_after_the_retransmission_time)
{
  SingleEngine single(makeDocument(1, "app=none"));
  cr_assert(single.send(1, kOpening).outcome == Outcome::drop);
  single.run(65_s);
  const Decision decision = single.send(1, kOpening);
  cr_assert(decision.outcome == Outcome::refuse);
  cr_assert(decision.reason == Reason::noTarget);
}

/// \brief Guards against a flow limit that drops packets of open flows.
Test(engine, a_flow_limit_refuses_new_flows_and_keeps_open_ones)
{
  SingleEngine single(
    makeDocument(1, "app=a", "serving", R"(,"max_flows":10)"));
  single.run(65_s);
  for (int i = 0; i < 10; ++i) {
    cr_assert(single.send(i, kOpening).outcome == Outcome::forward);
  }
  cr_assert(single.send(10, kOpening).reason == Reason::flowLimited);
  cr_assert(single.send(3, kEstablished).outcome == Outcome::forward);
}

/// \brief Guards against placing flows on unhealthy targets, and against
/// placing none at all when faulty checks report all targets as unhealthy.
Test(engine, unhealthy_targets_get_no_new_flows_unless_most_are_unhealthy)
{
  SingleEngine single;
  LoadReport bad;
  bad.reachable = true;
  for (int i = 0; i < 3; ++i) {
    single.engine.onLoadReport("t-1", bad, single.now);
  }
  single.send(0, kOpening);
  // Openings of the diverted buckets are dropped for a fixed delay, within
  // which peers learn of the diversion.
  for (int i = 0; i < 100; ++i) {
    single.send(i, kOpening);
  }
  single.run(2_s);
  for (int i = 1000; i < 1200; ++i) {
    const std::string target = single.targetOf(single.send(i, kOpening));
    cr_assert_str_neq(target.c_str(), "t-1");
  }
  for (const char* id : { "t-0", "t-2", "t-3" }) {
    for (int i = 0; i < 3; ++i) {
      single.engine.onLoadReport(id, bad, single.now);
    }
  }
  // All targets look unhealthy: the reports are ignored, and all are used.
  single.run(2_s);
  std::vector<std::string> used;
  for (int i = 2000; i < 2200; ++i) {
    used.push_back(single.targetOf(single.send(i, kOpening)));
  }
  cr_assert(std::find(used.begin(), used.end(), "t-1") != used.end());
}

/// \brief Guards against placing flows by an outdated view after a pause of the
/// process. Known flows keep their targets.
Test(engine, a_pause_makes_the_view_suspect_until_it_is_confirmed)
{
  SingleEngine single;
  const std::string known = single.targetOf(single.send(1, kOpening));
  single.now = single.now + 10_s;
  cr_assert(single.send(2, kOpening).reason == Reason::viewSuspect);
  const std::string still = single.targetOf(single.send(1, kEstablished));
  cr_assert_str_eq(still.c_str(), known.c_str());
  single.run(5_s);
  cr_assert(single.send(2, kOpening).outcome == Outcome::forward);
  cr_assert_eq(single.engine.blackboard().counters.pauses, 1);
}

/// \brief Guards against packets that are dropped without being counted.
Test(engine, each_malformed_packet_is_dropped_and_counted_by_reason)
{
  SingleEngine single;
  const auto outcomeOf = [&](std::vector<std::uint8_t> bytes) {
    return single.engine.onPacket(bytes, single.now).reason;
  };
  auto packet = buildTcpPacket(
    *parseFlowKey("tcp 10.0.0.1:1 203.0.113.9:443"), kOpening, {});
  cr_assert(outcomeOf(packet) == Reason::unknownDestination);
  packet[10] ^= 1;
  cr_assert(outcomeOf(packet) == Reason::badChecksum);
  packet.resize(12);
  cr_assert(outcomeOf(packet) == Reason::truncated);
  cr_assert(outcomeOf({ 0x75 }) == Reason::badVersion);
  const auto& dropped = single.engine.blackboard().counters.dropped;
  for (const Reason reason : { Reason::unknownDestination,
                               Reason::badChecksum,
                               Reason::truncated,
                               Reason::badVersion }) {
    cr_assert_eq(dropped[static_cast<std::size_t>(reason)], 1);
  }
}

/// \brief Guards against a delta that loses or changes a part of the document.
Test(delta, applied_to_the_old_document_gives_the_new_one)
{
  const std::string before = makeDocument(1, "app=a");
  const std::string after = makeDocument(2, "app=a,n!=2", "draining");
  const auto delta = computeDelta(before, after);
  cr_assert(delta.has_value());
  const auto result = applyDelta(before, *delta);
  cr_assert(result.has_value());
  const auto got = parseConfiguration(*result);
  cr_assert(got.fatalProblems.empty());
  cr_assert_eq(got.configuration.revision, 2);
  cr_assert(got.configuration.targets[0].state == TargetState::draining);
  const auto diffs = diffConfigurations(
    got.configuration, parseConfiguration(after).configuration);
  cr_assert(diffs.empty());
  cr_assert_not(applyDelta(before, "{}").has_value());
}

/// \brief Guards against wrong phases after an event, and against a pause
/// counting before the instance has joined.
Test(lifecycle, follows_its_events_from_joining_to_stopped)
{
  Lifecycle lifecycle;
  cr_assert(lifecycle.phase() == Phase::joining);
  cr_assert_not(lifecycle.process(LifecycleEvent::paused));
  cr_assert(lifecycle.process(LifecycleEvent::confirmed));
  cr_assert(lifecycle.process(LifecycleEvent::paused));
  cr_assert(lifecycle.state() == LifecycleState::suspended);
  cr_assert(lifecycle.phase() == Phase::live);
  cr_assert(lifecycle.process(LifecycleEvent::declaredDead));
  cr_assert(lifecycle.phase() == Phase::joining);
  cr_assert(lifecycle.process(LifecycleEvent::stopRequested));
  cr_assert(lifecycle.process(LifecycleEvent::handoverEnded));
  cr_assert(lifecycle.phase() == Phase::stopped);
}

/// \brief Guards against two owners of a slot in the same zone, and against
/// moving slots of instances that stay.
Test(owners,
     are_in_different_zones_and_change_only_for_slots_of_a_leaving_instance)
{
  std::vector<Member> members(8);
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].id = "entry-" + std::to_string(i);
    members[i].zone = std::string(1, static_cast<char>('a' + i % 3));
    members[i].liveness = Liveness::alive;
    members[i].phase = Phase::live;
  }
  const auto before = computeOwners(members);
  for (const SlotOwners& owners : before) {
    cr_assert(members[owners.primary].zone != members[owners.second].zone);
    cr_assert(members[owners.primary].zone != members[owners.third].zone);
    cr_assert(members[owners.second].zone != members[owners.third].zone);
  }
  members[5].phase = Phase::leaving;
  const auto after = computeOwners(members);
  for (std::size_t slot = 0; slot < before.size(); ++slot) {
    const bool ownedByLeaving = before[slot].primary == 5;
    cr_assert(ownedByLeaving || after[slot].primary == before[slot].primary);
    cr_assert(after[slot].primary != 5);
  }
}
