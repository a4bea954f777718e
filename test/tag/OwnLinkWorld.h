#ifndef BUCKTHORNWING_TEST_OWN_LINK_WORLD_H
#define BUCKTHORNWING_TEST_OWN_LINK_WORLD_H

#include "SlowLinkFleet.h"
#include "TcpAnswer.h"

#include <map>
#include <memory>
#include <set>
#include <utility>

namespace buckthornwing::test {

using namespace buckthornwing::literals;

/// \brief Instances behind slow links in virtual time. The first one has all
/// callers; whatever it sends or gets passes its own link in order.
class OwnLinkWorld
{
public:
  static constexpr MilliTime kStart{ 100000 };
  static constexpr std::size_t kRoutes = 2400;

  VirtualEvents events{ kStart };
  SlowLinkFleet fleet{ this->events,
                       [this](std::size_t index) { this->afterInput(index); } };
  Random random;
  std::function<void(const FlowKey&)> callerReset = [](const FlowKey&) {};
  std::set<FlowKey> wronglyReset;   ///< flows of targets that live
  std::vector<std::string> reports; ///< of the situations of those resets
  std::map<std::string, MilliTime> foundDeadAt; ///< by a target's id

  OwnLinkWorld(std::uint64_t seed, std::uint64_t targetCount)
    : random{ seed }
  {
    this->fleet.add();
    std::vector<TargetChange> targets;
    for (std::uint64_t number = 1; number <= targetCount; ++number) {
      targets.push_back(listed(number, number));
    }
    TagEngine& engine = *this->fleet.at(0).engine;
    engine.onRoutes(manyRoutes(1, kRoutes), this->events.now);
    engine.onTargetListing(
      targetCount, targets, this->events.now, this->events.now);
    this->confirm();
  }

  void run(MilliDuration span) { this->events.run(this->events.now + span); }

  /// \brief Keeps the first instance from running; its link goes on.
  void stall(MilliDuration span)
  {
    this->fleet.at(0).stalledUntil = this->events.now + span;
  }

  /// \brief Lets bytes of nobody's pass the first instance's link.
  void burstOut(std::size_t bytes)
  {
    this->fleet.at(0).up.pass(bytes, [] {});
  }
  void burstIn(std::size_t bytes)
  {
    this->fleet.at(0).down.pass(bytes, [] {});
  }

  /// \brief Lets an answer of the store come in over TCP.
  void readStore(std::size_t bytes, std::function<void()> done)
  {
    SlowLinkFleet::Instance& reader = this->fleet.at(0);
    TcpAnswer::send(reader.down, reader.up, bytes, std::move(done));
  }

  using AtTarget = std::function<void(FlowTag)>;

  /// \brief Passes a caller's packet on.
  /// \param atTarget called when it comes to a target that lives
  void fromCaller(const CallerPacket& packet, const AtTarget& atTarget)
  {
    this->fleet.at(0).down.pass(
      kHeaderBytes + packet.payload.size(), [this, packet, atTarget] {
        this->fleet.input(0, [this, packet, atTarget](TagEngine& engine) {
          const auto decision = engine.onPacket(packet, this->events.now);
          this->carryOut(packet, decision, atTarget);
        });
      });
  }

  /// \returns the number of the target with the most flows.
  std::uint64_t busiestTarget() const
  {
    const TagBoard& board = this->fleet.at(0).engine->board();
    TargetSlot best = 0;
    for (TargetSlot slot = 1; slot < board.registry.targets().size(); ++slot) {
      const bool isBusier =
        board.observer.load(slot).flows > board.observer.load(best).flows;
      best = isBusier ? slot : best;
    }
    return this->fleet.numberOf(0, best);
  }

  /// \brief From now on nothing answers at a target's address.
  void crash(std::uint64_t number) { this->crashed.insert(number); }

  /// \returns a span up to a limit.
  MilliDuration anyOf(std::uint64_t mostMs)
  {
    return { static_cast<std::int64_t>(this->random.below(mostMs + 1)) };
  }

private:
  static constexpr std::size_t kHeaderBytes = SlowLinkFleet::kHeaderBytes;
  std::set<std::uint64_t> crashed;

  /// \brief The store has no news, which is small.
  void confirm()
  {
    this->fleet.input(0, [this](TagEngine& engine) {
      engine.onTargetChanges(0, {}, this->events.now, this->events.now);
      engine.onRoutesConfirmed(0, this->events.now);
    });
    this->events.after(500_ms, [this] { this->confirm(); });
  }

  void afterInput(std::size_t index)
  {
    TagEngine& engine = *this->fleet.at(index).engine;
    for (const RescuedFlow& rescued : engine.takeRescued()) {
      this->onReset(rescued.flow, rescued.target);
    }
    for (const TargetSlot slot : engine.takeProbes()) {
      this->probe(index, slot);
    }
    for (const TagEvent& event : engine.takeEvents()) {
      this->noteVerdict(event);
    }
  }

  void noteVerdict(const TagEvent& event)
  {
    if (event.kind == TagEventKind::targetDead) {
      this->foundDeadAt.emplace(event.subject, this->events.now);
    } else if (event.kind == TagEventKind::targetTrusted) {
      this->foundDeadAt.erase(event.subject);
    }
  }

  void probe(std::size_t index, TargetSlot slot)
  {
    const auto isOver = std::make_shared<bool>(false);
    const std::uint64_t number = this->fleet.numberOf(index, slot);
    const auto answered = [this, slot, isOver](TagEngine& engine) {
      if (std::exchange(*isOver, true)) {
        engine.onLateConnection(slot, this->events.now);
        engine.onLateResult(slot, ProbeResult::alive, this->events.now);
      } else {
        engine.onProbeResult(slot, ProbeResult::alive, this->events.now);
      }
    };
    this->fleet.at(index).up.pass(kHeaderBytes, [=, this] {
      if (!this->crashed.contains(number)) {
        this->events.after(this->anyOf(5), [=, this] {
          this->fleet.at(index).down.pass(
            kHeaderBytes, [=, this] { this->fleet.input(index, answered); });
        });
      }
    });
    this->events.after(kProbeTimeout,
                       [=, this] { this->endProbe(index, slot, isOver); });
  }

  /// \brief A process that ran late reads its sockets before its timers.
  void endProbe(std::size_t index,
                TargetSlot slot,
                const std::shared_ptr<bool>& isOver)
  {
    const MilliTime until = this->fleet.at(index).stalledUntil;
    if (until >= this->events.now) {
      this->events.after(until - this->events.now + 1_ms,
                         [=, this] { this->endProbe(index, slot, isOver); });
      return;
    }
    this->fleet.input(index, [this, slot, isOver](TagEngine& engine) {
      if (!std::exchange(*isOver, true)) {
        engine.onProbeResult(slot, ProbeResult::silent, this->events.now);
      }
    });
  }

  void onReset(const FlowKey& flow, TargetSlot slot)
  {
    const std::uint64_t number = this->fleet.numberOf(0, slot);
    if (!this->crashed.contains(number) &&
        this->wronglyReset.insert(flow).second) {
      this->reports.push_back(this->describe(number));
    }
    this->tellReset(flow);
  }

  std::string describe(std::uint64_t number) const
  {
    const SlowLinkFleet::Instance& instance = this->fleet.at(0);
    return "t-" + std::to_string(number) + " at " +
           std::to_string((this->events.now - kStart).ms) + " ms, queued out " +
           std::to_string(instance.up.wait().ms) + " ms, in " +
           std::to_string(instance.down.wait().ms) + " ms";
  }

  void tellReset(const FlowKey& flow)
  {
    this->fleet.at(0).up.pass(kHeaderBytes,
                              [this, flow] { this->callerReset(flow); });
  }

  void carryOut(const CallerPacket& packet,
                const SteeringDecision& decision,
                const AtTarget& atTarget)
  {
    const bool isReset = decision.outcome == SteeringOutcome::reset;
    if (isReset && decision.reason == SteeringReason::targetSilent) {
      this->onReset(packet.flow, decision.target);
    } else if (isReset) {
      this->tellReset(packet.flow);
    } else if (decision.outcome == SteeringOutcome::forward) {
      const std::uint64_t number = this->fleet.numberOf(0, decision.target);
      this->fleet.at(0).up.pass(kHeaderBytes + packet.payload.size(),
                                [this, number, atTarget, tag = decision.tag] {
                                  if (!this->crashed.contains(number)) {
                                    atTarget(tag);
                                  }
                                });
    }
  }
};

}

#endif
