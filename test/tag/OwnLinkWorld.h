#ifndef BUCKTHORNWING_TEST_OWN_LINK_WORLD_H
#define BUCKTHORNWING_TEST_OWN_LINK_WORLD_H

#include "LinkQueue.h"
#include "TagFixture.h"

#include <criterion/criterion.h>

#include <deque>
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
  static constexpr double kMegabits = 2;
  static constexpr std::uint64_t kTargets = 6;
  static constexpr MilliTime kStart{ 100000 };
  static constexpr std::size_t kRoutes = 2400;

  VirtualEvents events{ kStart };
  Random random;
  std::function<void(const FlowKey&)> callerReset = [](const FlowKey&) {};
  std::set<FlowKey> wronglyReset;   ///< flows of targets that live
  std::vector<std::string> reports; ///< of the situations of those resets
  std::map<std::string, MilliTime> foundDeadAt; ///< by a target's id

  explicit OwnLinkWorld(std::uint64_t seed)
    : random{ seed }
  {
    this->addInstance();
    std::vector<TargetChange> targets;
    for (std::uint64_t number = 1; number <= kTargets; ++number) {
      targets.push_back(listed(number, number));
    }
    TagEngine& engine = *this->instances[0].engine;
    engine.onRoutes(manyRoutes(1, kRoutes), this->events.now);
    engine.onTargetListing(
      kTargets, targets, this->events.now, this->events.now);
    this->confirm();
  }

  void run(MilliDuration span) { this->events.run(this->events.now + span); }

  /// \brief Adds an instance without a view, which fetches it from others.
  std::size_t addInstance()
  {
    const std::size_t index = this->instances.size();
    this->instances.emplace_back(this->events);
    this->restart(index);
    this->tick(index);
    return index;
  }

  /// \brief Starts an instance anew, without a view.
  void restart(std::size_t index)
  {
    TagSettings settings =
      OneEngine::settings({}, "entry-" + std::to_string(index), index + 1);
    settings.advertisedAddress = addressOf(index);
    settings.linkMegabits = kMegabits;
    settings.incarnation = static_cast<std::uint64_t>(this->events.now.ms);
    settings.seeds = { addressOf(0) };
    Instance& instance = this->instances[index];
    instance.engine = std::make_unique<TagEngine>(settings);
    ++instance.run;
  }

  /// \brief Keeps the first instance from running; its link goes on.
  void stall(MilliDuration span)
  {
    this->instances[0].stalledUntil = this->events.now + span;
  }

  /// \brief Lets bytes of nobody's pass the first instance's link.
  void burstOut(std::size_t bytes)
  {
    this->instances[0].up.pass(bytes, [] {});
  }
  void burstIn(std::size_t bytes)
  {
    this->instances[0].down.pass(bytes, [] {});
  }

  /// \brief Lets an answer of the store come in over TCP.
  void readStore(std::size_t bytes, std::function<void()> done)
  {
    const auto read = std::make_shared<StoreRead>();
    read->left = bytes;
    read->done = std::move(done);
    this->sendSegments(read);
  }

  using AtTarget = std::function<void(FlowTag)>;

  /// \brief Passes a caller's packet on.
  /// \param atTarget called when it comes to a target that lives
  void fromCaller(const CallerPacket& packet, const AtTarget& atTarget)
  {
    this->instances[0].down.pass(
      kHeaderBytes + packet.payload.size(), [this, packet, atTarget] {
        this->input(0, [this, packet, atTarget](TagEngine& engine) {
          const auto decision = engine.onPacket(packet, this->events.now);
          this->carryOut(packet, decision, atTarget);
        });
      });
  }

  /// \returns the number of the target with the most flows.
  std::uint64_t busiestTarget() const
  {
    const TagBoard& board = this->instances[0].engine->board();
    TargetSlot best = 0;
    for (TargetSlot slot = 1; slot < kTargets; ++slot) {
      const bool isBusier =
        board.observer.load(slot).flows > board.observer.load(best).flows;
      best = isBusier ? slot : best;
    }
    return this->numberOf(0, best);
  }

  /// \brief From now on nothing answers at a target's address.
  void crash(std::uint64_t number) { this->crashed.insert(number); }

  /// \returns a span up to a limit.
  MilliDuration anyOf(std::uint64_t mostMs)
  {
    return { static_cast<std::int64_t>(this->random.below(mostMs + 1)) };
  }

private:
  static constexpr std::size_t kHeaderBytes = 60;
  static constexpr MilliDuration kProbeWithin{ 250 };
  static constexpr std::size_t kSegmentBytes = 1460;
  static constexpr std::size_t kMostWindowBytes = 65536;

  struct Instance
  {
    explicit Instance(VirtualEvents& events)
      : up(events, kMegabits)
      , down(events, kMegabits)
    {
    }

    std::unique_ptr<TagEngine> engine;
    LinkQueue up;
    LinkQueue down;
    MilliTime stalledUntil{};
    std::uint64_t run = 0; ///< which of the processes at its address
  };

  struct StoreRead
  {
    std::size_t left = 0;
    std::size_t underWay = 0;
    std::size_t window = 10 * kSegmentBytes;
    std::function<void()> done;
  };

  std::deque<Instance> instances;
  std::set<std::uint64_t> crashed;

  static Endpoint addressOf(std::size_t index)
  {
    return *parseEndpoint("127.0.0.1:" + std::to_string(index + 1));
  }

  /// \brief Runs an input once the process runs, if it is still the same one.
  void input(std::size_t index, std::function<void(TagEngine&)> take)
  {
    Instance& instance = this->instances[index];
    const auto wait = instance.stalledUntil - this->events.now;
    if (wait > MilliDuration{}) {
      this->events.after(wait, [this, index, run = instance.run, take] {
        if (this->instances[index].run == run) {
          this->input(index, take);
        }
      });
      return;
    }
    take(*instance.engine);
    this->afterInput(index);
  }

  void tick(std::size_t index)
  {
    this->input(index,
                [this](TagEngine& engine) { engine.tick(this->events.now); });
    this->events.after(kTagTickPeriod, [this, index] { this->tick(index); });
  }

  /// \brief The store has no news, which is small.
  void confirm()
  {
    this->input(0, [this](TagEngine& engine) {
      engine.onTargetChanges(0, {}, this->events.now, this->events.now);
      engine.onRoutesConfirmed(0, this->events.now);
    });
    this->events.after(500_ms, [this] { this->confirm(); });
  }

  void afterInput(std::size_t index)
  {
    TagEngine& engine = *this->instances[index].engine;
    for (const OutgoingFleetMessage& outgoing : engine.takeOutgoing()) {
      this->carry(index, outgoing);
    }
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

  void carry(std::size_t from, const OutgoingFleetMessage& outgoing)
  {
    const std::size_t to = outgoing.to.port - std::size_t{ 1 };
    if (to >= this->instances.size()) {
      return;
    }
    const auto bytes =
      std::make_shared<const std::string>(encodeFleetMessage(outgoing.message));
    const std::size_t size = bytes->size() + kHeaderBytes;
    this->instances[from].up.pass(size, [this, to, size, bytes] {
      this->instances[to].down.pass(size, [this, to, bytes] {
        this->input(to, [this, bytes](TagEngine& engine) {
          FleetMessage message;
          cr_assert(decodeFleetMessage(
            { reinterpret_cast<const std::uint8_t*>(bytes->data()),
              bytes->size() },
            message));
          engine.onFleetMessage(message, this->events.now);
        });
      });
    });
  }

  std::uint64_t numberOf(std::size_t index, TargetSlot slot) const
  {
    return this->instances[index]
      .engine->board()
      .registry.at(slot)
      .record.number;
  }

  /// \brief Late answers count where the engine has a call for them.
  template<typename Engine>
  static void tellLateAnswer(Engine& engine, TargetSlot slot, MilliTime now)
  {
    if constexpr (requires { engine.onLateAnswer(slot, now); }) {
      engine.onLateAnswer(slot, now);
    }
  }

  void probe(std::size_t index, TargetSlot slot)
  {
    const auto isOver = std::make_shared<bool>(false);
    const std::uint64_t number = this->numberOf(index, slot);
    const auto answered = [this, slot, isOver](TagEngine& engine) {
      if (std::exchange(*isOver, true)) {
        tellLateAnswer(engine, slot, this->events.now);
      } else {
        engine.onProbeResult(slot, ProbeResult::alive, this->events.now);
      }
    };
    this->instances[index].up.pass(kHeaderBytes, [=, this] {
      if (!this->crashed.contains(number)) {
        this->events.after(this->anyOf(5), [=, this] {
          this->instances[index].down.pass(
            kHeaderBytes, [=, this] { this->input(index, answered); });
        });
      }
    });
    this->events.after(kProbeWithin, [=, this] {
      this->input(index, [this, slot, isOver](TagEngine& engine) {
        if (!std::exchange(*isOver, true)) {
          engine.onProbeResult(slot, ProbeResult::silent, this->events.now);
        }
      });
    });
  }

  void onReset(const FlowKey& flow, TargetSlot slot)
  {
    const std::uint64_t number = this->numberOf(0, slot);
    if (!this->crashed.contains(number) &&
        this->wronglyReset.insert(flow).second) {
      this->reports.push_back(this->describe(number));
    }
    this->tellReset(flow);
  }

  std::string describe(std::uint64_t number) const
  {
    const Instance& instance = this->instances[0];
    return "t-" + std::to_string(number) + " at " +
           std::to_string((this->events.now - kStart).ms) + " ms, queued out " +
           std::to_string(instance.up.wait().ms) + " ms, in " +
           std::to_string(instance.down.wait().ms) + " ms";
  }

  void tellReset(const FlowKey& flow)
  {
    this->instances[0].up.pass(kHeaderBytes,
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
      const std::uint64_t number = this->numberOf(0, decision.target);
      this->instances[0].up.pass(kHeaderBytes + packet.payload.size(),
                                 [this, number, atTarget, tag = decision.tag] {
                                   if (!this->crashed.contains(number)) {
                                     atTarget(tag);
                                   }
                                 });
    }
  }

  void sendSegments(const std::shared_ptr<StoreRead>& read)
  {
    while (read->left > 0 && read->underWay + kSegmentBytes <= read->window) {
      const std::size_t bytes = std::min(read->left, kSegmentBytes);
      read->left -= bytes;
      read->underWay += kSegmentBytes;
      this->instances[0].down.pass(bytes + kHeaderBytes, [this, read] {
        this->instances[0].up.pass(kHeaderBytes, [this, read] {
          read->underWay -= kSegmentBytes;
          read->window =
            std::min(read->window + kSegmentBytes, kMostWindowBytes);
          this->sendSegments(read);
          if (read->underWay == 0) {
            read->done();
          }
        });
      });
    }
  }
};

}

#endif
