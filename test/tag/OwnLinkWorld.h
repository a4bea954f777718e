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

/// \brief Simulation of instances with slow links in virtual time.
///
/// The first instance has all callers. Its packets, messages, probes and their
/// answers share its own link, which has one queue per direction.
class OwnLinkWorld
{
public:
  static constexpr MilliTime kStart{ 100000 };
  static constexpr std::size_t kRoutes = 2400;

  VirtualEvents events{ kStart };
  SlowLinkFleet fleet{ this->events,
                       [this](std::size_t index) { this->afterInput(index); } };
  Random random;
  /// Called when the reset of a flow reaches its caller.
  std::function<void(const FlowKey&)> onCallerReset = [](const FlowKey&) {};
  std::set<FlowKey>
    wronglyResetFlows;              ///< flows of live targets that were reset
  std::vector<std::string> reports; ///< descriptions of wrong resets
  std::map<std::string, MilliTime> foundDeadAt; ///< by target id

  OwnLinkWorld(std::uint64_t seed, std::uint64_t targetCount)
    : random{ seed }
  {
    this->fleet.add();
    std::vector<TargetChange> targets;
    for (std::uint64_t number = 1; number <= targetCount; ++number) {
      targets.push_back(listed(number, number));
    }
    TagEngine& engine = *this->fleet.at(0).engine;
    publishRoutes(engine, manyRoutes(1, kRoutes), this->events.now);
    listTargets(engine, targetCount, targets, this->events.now);
    this->confirm();
  }

  /// \brief Advances the virtual time.
  void run(MilliDuration span) { this->events.run(this->events.now + span); }

  /// \brief Suspends the process of the first instance; its link keeps working.
  void stall(MilliDuration span)
  {
    this->fleet.at(0).stalledUntil = this->events.now + span;
  }

  /// \brief Sends unrelated bytes over the outgoing link of the first instance.
  void burstOut(std::size_t bytes)
  {
    this->fleet.at(0).up.send(bytes, [] {});
  }
  /// \brief Sends unrelated bytes over the incoming link of the first instance.
  void burstIn(std::size_t bytes)
  {
    this->fleet.at(0).down.send(bytes, [] {});
  }

  /// \brief Transfers an answer of the store to the first instance over TCP.
  /// \param done called when the transfer is complete
  void readStore(std::size_t bytes, std::function<void()> done)
  {
    SlowLinkFleet::Instance& reader = this->fleet.at(0);
    TcpAnswer::send(reader.down, reader.up, bytes, std::move(done));
  }

  /// Callback for a packet that reaches a target, with the tag of the flow.
  using AtTarget = std::function<void(FlowTag)>;

  /// \brief Sends a packet of a caller through the first instance.
  /// \param atTarget called if the packet reaches a live target
  void fromCaller(const CallerPacket& packet, const AtTarget& atTarget)
  {
    this->fleet.at(0).down.send(
      kHeaderBytes + packet.payload.size(), [this, packet, atTarget] {
        this->fleet.input(0, [this, packet, atTarget](TagEngine& engine) {
          const auto decision = engine.onPacket(packet, this->events.now);
          this->applyDecision(packet, decision, atTarget);
        });
      });
  }

  /// \returns the number of the target with the most flows.
  std::uint64_t busiestTarget() const
  {
    const TagBlackboard& board = this->fleet.at(0).engine->board();
    TargetSlot best = 0;
    for (TargetSlot slot = 1; slot < board.registry.targets().size(); ++slot) {
      const bool isBusier =
        board.observer.load(slot).flows > board.observer.load(best).flows;
      best = isBusier ? slot : best;
    }
    return this->fleet.numberOf(0, best);
  }

  /// \brief Makes a target silent: nothing answers at its address any more.
  void crash(std::uint64_t number) { this->crashed.insert(number); }

  /// \returns a random duration from 0 to a limit in milliseconds.
  MilliDuration randomUpTo(std::uint64_t maxMs)
  {
    return { static_cast<std::int64_t>(this->random.below(maxMs + 1)) };
  }

private:
  static constexpr std::size_t kHeaderBytes = SlowLinkFleet::kHeaderBytes;
  std::set<std::uint64_t> crashed;

  /// \brief Confirms the view every 500 ms. The size of the store's answer is
  /// neglected.
  void confirm()
  {
    this->fleet.input(
      0, [this](TagEngine& engine) { confirmView(engine, this->events.now); });
    this->events.after(500_ms, [this] { this->confirm(); });
  }

  void afterInput(std::size_t index)
  {
    TagEngine& engine = *this->fleet.at(index).engine;
    for (const FlowToReset& toReset : engine.takeFlowsToReset()) {
      this->onReset(toReset.flow, toReset.target);
    }
    for (const TargetSlot slot : engine.takeProbes()) {
      this->probe(index, slot);
    }
    for (const TagEvent& event : engine.takeEvents()) {
      this->recordHealthEvent(event);
    }
  }

  void recordHealthEvent(const TagEvent& event)
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
    this->fleet.at(index).up.send(kHeaderBytes, [=, this] {
      if (!this->crashed.contains(number)) {
        this->events.after(this->randomUpTo(5), [=, this] {
          this->fleet.at(index).down.send(
            kHeaderBytes, [=, this] { this->fleet.input(index, answered); });
        });
      }
    });
    this->events.after(kProbeTimeout,
                       [=, this] { this->endProbe(index, slot, isOver); });
  }

  /// \brief Ends a probe at its timeout. After a stall of the process, answers
  /// that arrived in the meantime are processed before the timeout.
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
        this->wronglyResetFlows.insert(flow).second) {
      this->reports.push_back(this->describe(number));
    }
    this->sendReset(flow);
  }

  std::string describe(std::uint64_t number) const
  {
    const SlowLinkFleet::Instance& instance = this->fleet.at(0);
    return "t-" + std::to_string(number) + " at " +
           std::to_string((this->events.now - kStart).ms) + " ms, queued out " +
           std::to_string(instance.up.wait().ms) + " ms, in " +
           std::to_string(instance.down.wait().ms) + " ms";
  }

  void sendReset(const FlowKey& flow)
  {
    this->fleet.at(0).up.send(kHeaderBytes,
                              [this, flow] { this->onCallerReset(flow); });
  }

  void applyDecision(const CallerPacket& packet,
                     const SteeringDecision& decision,
                     const AtTarget& atTarget)
  {
    const bool isReset = decision.outcome == SteeringOutcome::reset;
    if (isReset && decision.reason == SteeringReason::targetSilent) {
      this->onReset(packet.flow, decision.target);
    } else if (isReset) {
      this->sendReset(packet.flow);
    } else if (decision.outcome == SteeringOutcome::forward) {
      const std::uint64_t number = this->fleet.numberOf(0, decision.target);
      this->fleet.at(0).up.send(kHeaderBytes + packet.payload.size(),
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
