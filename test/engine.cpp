/// \file
/// \brief Tests of the engine's decisions, one or two engines at a time.

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
document(std::uint64_t revision,
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

/// \brief One engine that is alone, with a clock that a test moves.
struct Alone
{
  MilliTime now{};
  Engine engine;

  explicit Alone(const std::string& text = document(1, "app=a"))
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
constexpr TcpFlags kMiddle{ .ack = true };

}

Test(engine, a_flow_keeps_its_target_through_a_drain)
{
  Alone alone;
  std::vector<std::string> before;
  for (int i = 0; i < 200; ++i) {
    before.push_back(alone.targetOf(alone.send(i, kOpening)));
  }
  alone.engine.onConfiguration(document(2, "app=a", "draining"), alone.now);
  alone.run(4_s);
  for (int i = 0; i < 200; ++i) {
    const std::string target = alone.targetOf(alone.send(i, kMiddle));
    cr_assert_str_eq(target.c_str(), before[i].c_str());
  }
  for (int i = 200; i < 400; ++i) {
    const std::string target = alone.targetOf(alone.send(i, kOpening));
    cr_assert_str_neq(target.c_str(), "t-0");
  }
}

Test(engine, a_retransmitted_opening_goes_to_the_same_target)
{
  Alone alone;
  for (int i = 0; i < 100; ++i) {
    const std::string first = alone.targetOf(alone.send(i, kOpening));
    const std::string again = alone.targetOf(alone.send(i, kOpening));
    cr_assert_str_eq(first.c_str(), again.c_str());
  }
  cr_assert_eq(alone.engine.blackboard().counters.placed, 100);
}

Test(engine, a_lower_revision_is_never_taken)
{
  Alone alone(document(5, "app=a"));
  cr_assert(alone.engine.onConfiguration(document(4, "app=b"), alone.now) ==
            AdoptOutcome::alreadyKnown);
  cr_assert(alone.engine.onConfiguration("{", alone.now) ==
            AdoptOutcome::refused);
  cr_assert_eq(alone.engine.blackboard().view.revision, 5);
  cr_assert_eq(alone.engine.blackboard().services[0].serving.size(), 4);
}

Test(engine, a_bad_selector_keeps_the_last_good_form)
{
  Alone alone(document(1, "app=a,n!=3"));
  cr_assert(alone.engine.onConfiguration(document(2, "app in ("), alone.now) ==
            AdoptOutcome::adopted);
  const Service& service = alone.engine.blackboard().services[0];
  cr_assert(service.selectorHeldBack);
  cr_assert_eq(service.serving.size(), 3);
  cr_assert_eq(alone.engine.configurationProblems().size(), 1);
}

Test(engine, nothing_is_refused_before_it_is_certain)
{
  // An earlier instance may have forwarded the same opening a moment ago.
  Alone alone(document(1, "app=none"));
  cr_assert(alone.send(1, kOpening).outcome == Outcome::drop);
  alone.run(65_s);
  const Decision decision = alone.send(1, kOpening);
  cr_assert(decision.outcome == Outcome::refuse);
  cr_assert(decision.reason == Reason::noTarget);
}

Test(engine, a_flow_limit_refuses_new_flows_and_keeps_open_ones)
{
  Alone alone(document(1, "app=a", "serving", R"(,"max_flows":10)"));
  alone.run(65_s);
  for (int i = 0; i < 10; ++i) {
    cr_assert(alone.send(i, kOpening).outcome == Outcome::forward);
  }
  cr_assert(alone.send(10, kOpening).reason == Reason::flowLimited);
  cr_assert(alone.send(3, kMiddle).outcome == Outcome::forward);
}

Test(engine, unhealthy_targets_get_no_new_flows_unless_most_are)
{
  Alone alone;
  LoadReport bad;
  bad.reachable = true;
  for (int i = 0; i < 3; ++i) {
    alone.engine.onLoadReport("t-1", bad, alone.now);
  }
  alone.send(0, kOpening);
  // Openings for the diverted buckets are dropped until peers have heard.
  for (int i = 0; i < 100; ++i) {
    alone.send(i, kOpening);
  }
  alone.run(2_s);
  for (int i = 1000; i < 1200; ++i) {
    const std::string target = alone.targetOf(alone.send(i, kOpening));
    cr_assert_str_neq(target.c_str(), "t-1");
  }
  for (const char* id : { "t-0", "t-2", "t-3" }) {
    for (int i = 0; i < 3; ++i) {
      alone.engine.onLoadReport(id, bad, alone.now);
    }
  }
  // All look unhealthy: the evidence is bad, and all are used again.
  alone.run(2_s);
  std::vector<std::string> used;
  for (int i = 2000; i < 2200; ++i) {
    used.push_back(alone.targetOf(alone.send(i, kOpening)));
  }
  cr_assert(std::find(used.begin(), used.end(), "t-1") != used.end());
}

Test(engine, a_pause_makes_the_view_suspect_until_it_is_confirmed)
{
  Alone alone;
  const std::string known = alone.targetOf(alone.send(1, kOpening));
  alone.now = alone.now + 10_s;
  cr_assert(alone.send(2, kOpening).reason == Reason::viewSuspect);
  const std::string still = alone.targetOf(alone.send(1, kMiddle));
  cr_assert_str_eq(still.c_str(), known.c_str());
  alone.run(5_s);
  cr_assert(alone.send(2, kOpening).outcome == Outcome::forward);
  cr_assert_eq(alone.engine.blackboard().counters.pauses, 1);
}

Test(engine, bad_input_has_a_counted_outcome)
{
  Alone alone;
  const auto outcomeOf = [&](std::vector<std::uint8_t> bytes) {
    return alone.engine.onPacket(bytes, alone.now).reason;
  };
  auto packet = buildTcpPacket(
    *parseFlowKey("tcp 10.0.0.1:1 203.0.113.9:443"), kOpening, {});
  cr_assert(outcomeOf(packet) == Reason::unknownDestination);
  packet[10] ^= 1;
  cr_assert(outcomeOf(packet) == Reason::badChecksum);
  packet.resize(12);
  cr_assert(outcomeOf(packet) == Reason::truncated);
  cr_assert(outcomeOf({ 0x75 }) == Reason::badVersion);
  const auto& dropped = alone.engine.blackboard().counters.dropped;
  for (const Reason reason : { Reason::unknownDestination,
                               Reason::badChecksum,
                               Reason::truncated,
                               Reason::badVersion }) {
    cr_assert_eq(dropped[static_cast<std::size_t>(reason)], 1);
  }
}

Test(delta, turns_one_document_into_the_other)
{
  const std::string before = document(1, "app=a");
  const std::string after = document(2, "app=a,n!=2", "draining");
  const auto delta = computeDelta(before, after);
  cr_assert(delta.has_value());
  const auto result = applyDelta(before, *delta);
  cr_assert(result.has_value());
  const auto got = parseConfiguration(*result);
  cr_assert(got.fatal.empty());
  cr_assert_eq(got.configuration.revision, 2);
  cr_assert(got.configuration.targets[0].state == TargetState::draining);
  const auto diffs = diffConfigurations(
    got.configuration, parseConfiguration(after).configuration);
  cr_assert(diffs.empty());
  cr_assert_not(applyDelta(before, "{}").has_value());
}

Test(lifecycle, moves_through_its_states)
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
  cr_assert(lifecycle.process(LifecycleEvent::drained));
  cr_assert(lifecycle.phase() == Phase::stopped);
}

Test(owners, are_in_different_zones_and_move_little)
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
    const bool its = before[slot].primary == 5;
    cr_assert(its || after[slot].primary == before[slot].primary);
    cr_assert(after[slot].primary != 5);
  }
}
