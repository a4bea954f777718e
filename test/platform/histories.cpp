/// \file
/// \brief Property test: after any history of changes, drills, cuts, restarts,
/// lost messages and odd entries, all instances hold what the store holds.

#include "StoreFleet.h"

#include <standin/StoreEntries.h>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <sstream>
#include <tuple>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

/// \brief What happens at a moment of a history.
enum class Event : std::uint8_t
{
  registerTarget,
  drainTarget,
  endTarget,
  crashTarget,
  restartTarget,
  rewriteTarget,
  changeConfiguration,
  changeConfigurationTwice,
  loseReaderAfterTwoChanges,
  dropRoute,
  restoreRoute,
  keepCopy,
  restoreCopy,
  storeAway,
  storeBack,
  dropHistory,
  putOddEntry,
  cutFromStore,
  cutFromPeers,
  muteInstance,
  loseMessages,
  connect,
  restartInstance,
  restartAll,
};

constexpr int kEventCount = static_cast<int>(Event::restartAll) + 1;
/// \brief Time after a disruption from which bounds hold.
constexpr MilliDuration kSettlingTime{ 4000 };
/// \brief Time within which drains and configurations take effect.
constexpr MilliDuration kApplyLimit{ 3200 };
/// \brief Delay of a message between instances.
constexpr MilliDuration kMessageDelay{ 5 };
/// \brief Longest time that a reader needs to receive a change, if it can.
constexpr MilliDuration kReadLimit{ 600 };
constexpr const char* kRoute = "203.0.113.1:443";
/// \brief Destination of a route that is dropped and restored.
constexpr const char* kRouteAtTimes = "203.0.113.2:443";

/// \brief An event, with the thing it affects and the time until the next one.
struct HistoryStep
{
  Event event = Event::connect;
  std::size_t choice = 0;
  MilliDuration gap{};
};

/// \brief A target as its own process knows it.
struct ModelTarget
{
  std::uint64_t number = 0;
  std::uint64_t born = 0;
  unsigned slots = 3;
  bool isDraining = false;
  bool isRunning = true;
  MilliTime endedAt{};
  /// When the store accepted the drain while it was stable.
  std::optional<MilliTime> drainedAt;
};

/// \brief A caller's open flow.
struct ModelFlow
{
  FlowKey key;
  FlowTag tag;
  std::uint64_t target = 0;
  std::uint64_t born = 0;
  std::uint32_t sequence = 1000;
};

/// \brief A fleet, its store, targets and operator, which write again what the
/// store has lost.
class History
{
public:
  static constexpr std::uint16_t kInstances = 5;

  History()
  {
    this->fleet.delay = kMessageDelay;
    this->copy = this->fleet.store.copy();
    this->writeConfiguration();
    for (int i = 0; i < 5; ++i) {
      this->registerTarget();
    }
    for (std::uint16_t port = 1; port <= kInstances; ++port) {
      this->fleet.start(port);
    }
    this->run(4_s);
  }

  void apply(const HistoryStep& step)
  {
    this->cause(step.event, step.choice);
    this->run(step.gap);
  }

  /// \brief Ends all disruptions and waits until all must agree.
  void settle()
  {
    this->cause(Event::connect, 0);
    this->cause(Event::storeBack, 0);
    this->run(12_s);
  }

  void checkAgreement()
  {
    for (const auto& [address, engine] : this->fleet.engines) {
      const TagBlackboard& board = engine->board();
      RC_ASSERT(board.routes.version() == this->version);
      RC_ASSERT(board.registry.position().era == this->fleet.store.era());
      for (const ModelTarget& target : this->targets) {
        const TargetSlot slot =
          board.registry.find("i-" + hexDigits(target.number));
        const bool takesFlows =
          slot != kNoTargetSlot && board.registry.at(slot).takesNewFlows();
        RC_ASSERT(takesFlows == (target.isRunning && !target.isDraining));
      }
    }
  }

private:
  StoreFleet fleet;
  standin::StoreData::Copy copy;
  std::vector<ModelTarget> targets;
  std::vector<ModelFlow> flows;
  std::uint64_t version = 3;
  bool hasRouteAtTimes = false;
  std::uint64_t nextNumber = 1;
  unsigned nextFlow = 0;
  MilliTime restoredAt{};
  MilliTime storeDisruptedAt{};              ///< last moment of a disruption
  std::map<Endpoint, MilliTime> disruptedAt; ///< the same for instances
  /// When the store accepted the newest version while it was stable.
  std::optional<MilliTime> versionAcceptedAt;
  /// Versions of the configuration by the revisions of their writes, in the
  /// store's present era.
  std::map<std::uint64_t, std::uint64_t> versionsWritten;
  /// Draining targets that an instance has known as such, with their start.
  std::set<std::tuple<Endpoint, std::uint64_t, std::uint64_t>> knownDrains;
  std::uint64_t ticks = 0;

  static std::string hexDigits(std::uint64_t number)
  {
    std::ostringstream text;
    text << std::hex << number;
    return text.str();
  }

  static std::string keyOf(std::uint64_t number)
  {
    return std::string(platform::kTargetKeyPrefix) + "i-" + hexDigits(number);
  }

  static std::string entryOf(const ModelTarget& target)
  {
    Endpoint address = *parseEndpoint("10.0.0.1:9000");
    address.port = static_cast<std::uint16_t>(9000 + target.number);
    return standin::formatTargetRegistration({ "booking",
                                               address,
                                               "a",
                                               target.slots,
                                               target.isDraining,
                                               target.born });
  }

  Endpoint instance(std::size_t choice) const
  {
    return FleetWorld::addressOf(
      static_cast<std::uint16_t>(1 + choice % kInstances));
  }

  ModelTarget* running(std::size_t choice)
  {
    std::vector<ModelTarget*> found;
    for (ModelTarget& target : this->targets) {
      if (target.isRunning) {
        found.push_back(&target);
      }
    }
    // One target always runs and never leaves.
    return found.size() < 2 ? nullptr : found[1 + choice % (found.size() - 1)];
  }

  bool isStoreStable() const
  {
    return this->fleet.now - this->storeDisruptedAt > kSettlingTime;
  }

  /// \returns whether bounds hold for an instance. A cut between instances does
  /// not excuse one that can read the store.
  bool isInTouch(const Endpoint& at)
  {
    return this->isStoreStable() &&
           this->fleet.now - this->disruptedAt[at] > kSettlingTime &&
           this->fleet.now - this->fleet.startedAt[at] > kSettlingTime;
  }

  void recordDisruptions()
  {
    if (this->fleet.isStoreAway) {
      this->storeDisruptedAt = this->fleet.now;
    }
    for (std::uint16_t port = 1; port <= kInstances; ++port) {
      const Endpoint at = FleetWorld::addressOf(port);
      if (this->fleet.loss > 0 || this->fleet.cutFromStore.contains(at)) {
        this->disruptedAt[at] = this->fleet.now;
      }
    }
  }

  void registerTarget()
  {
    ModelTarget target;
    target.number = this->nextNumber++;
    target.born = static_cast<std::uint64_t>(this->fleet.now.ms);
    this->targets.push_back(target);
    this->write(target);
  }

  void write(ModelTarget& target)
  {
    if (this->fleet.isStoreAway) {
      return;
    }
    this->fleet.store.put(keyOf(target.number), entryOf(target));
    if (target.isDraining && !target.drainedAt && this->isStoreStable()) {
      target.drainedAt = this->fleet.now;
    }
  }

  void writeConfiguration()
  {
    if (this->fleet.isStoreAway) {
      return;
    }
    this->fleet.store.put(std::string(platform::kRoutesKey),
                          this->configuration());
    this->versionsWritten[this->fleet.store.revision()] = this->version;
    if (!this->versionAcceptedAt && this->isStoreStable()) {
      this->versionAcceptedAt = this->fleet.now;
    }
  }

  std::string configuration() const
  {
    std::vector<standin::RouteDefinition> routes{
      { *parseEndpoint(kRoute), true, "booking" }
    };
    if (this->hasRouteAtTimes) {
      routes.push_back({ *parseEndpoint(kRouteAtTimes), true, "booking" });
    }
    return standin::formatConfiguration(this->version, routes, { "booking" });
  }

  void cause(Event event, std::size_t choice)
  {
    ModelTarget* target = this->running(choice);
    switch (event) {
      case Event::registerTarget:
        this->registerTarget();
        break;
      case Event::drainTarget:
        if (target != nullptr) {
          target->isDraining = true;
          this->write(*target);
        }
        break;
      case Event::endTarget:
        if (target != nullptr && target->isDraining) {
          this->end(*target);
          if (!this->fleet.isStoreAway) {
            this->fleet.store.remove(keyOf(target->number));
          }
        }
        break;
      case Event::crashTarget:
        if (target != nullptr) {
          this->end(*target);
        }
        break;
      case Event::restartTarget:
        if (target != nullptr) {
          target->born = static_cast<std::uint64_t>(this->fleet.now.ms);
          target->isDraining = false;
          target->drainedAt.reset();
          this->write(*target);
        }
        break;
      case Event::rewriteTarget:
        if (target != nullptr) {
          ++target->slots;
          this->write(*target);
        }
        break;
      case Event::changeConfiguration:
        this->changeConfiguration(choice);
        break;
      case Event::changeConfigurationTwice:
        this->changeConfiguration(choice);
        this->changeConfiguration(choice);
        break;
      case Event::loseReaderAfterTwoChanges:
        this->changeConfiguration(choice);
        this->changeConfiguration(choice);
        this->loseReader();
        break;
      case Event::dropRoute:
        this->hasRouteAtTimes = false;
        std::erase_if(this->flows, [](const ModelFlow& flow) {
          return flow.key.destination == *parseEndpoint(kRouteAtTimes);
        });
        this->changeConfiguration(choice);
        break;
      case Event::restoreRoute:
        this->hasRouteAtTimes = true;
        this->changeConfiguration(choice);
        this->useRestoredRoute();
        break;
      default:
        this->disrupt(event, choice);
        break;
    }
  }

  void changeConfiguration(std::size_t choice)
  {
    this->versionAcceptedAt.reset();
    this->version += 1 + choice % 3;
    this->writeConfiguration();
  }

  /// \brief Waits until an instance holds the newest version.
  /// \returns the instance; nothing if none can read the store
  std::optional<Endpoint> awaitReader()
  {
    const MilliTime end = this->fleet.now + kReadLimit;
    while (this->fleet.now < end) {
      this->run(10_ms);
      for (const auto& [address, engine] : this->fleet.engines) {
        if (engine->board().routes.version() == this->version) {
          return address;
        }
      }
    }
    return std::nullopt;
  }

  /// \brief Cuts off an instance when it has read the newest version and sent
  /// its first messages.
  void loseReader()
  {
    if (const auto reader = this->awaitReader()) {
      this->fleet.run(kMessageDelay);
      this->fleet.disconnected[*reader] = true;
      this->fleet.cutFromStore.insert(*reader);
    }
  }

  /// \brief A caller opens a flow at the first instance that holds a restored
  /// route, and sends through all others.
  void useRestoredRoute()
  {
    if (const auto reader = this->awaitReader()) {
      this->openFlow(*reader, kRouteAtTimes);
      for (std::uint16_t i = 0; i < kInstances; ++i) {
        this->sendOnFlows();
      }
    }
  }

  void disrupt(Event event, std::size_t choice)
  {
    switch (event) {
      case Event::keepCopy:
        this->copy = this->fleet.store.copy();
        break;
      case Event::restoreCopy:
        this->fleet.restoreStore(this->copy);
        this->fleet.isStoreAway = false;
        this->versionsWritten.clear();
        this->restoredAt = this->fleet.now;
        this->storeDisruptedAt = this->fleet.now;
        break;
      case Event::storeAway:
        this->fleet.isStoreAway = true;
        break;
      case Event::storeBack:
        this->fleet.isStoreAway = false;
        break;
      case Event::dropHistory:
        this->fleet.store.dropHistory();
        this->storeDisruptedAt = this->fleet.now;
        break;
      case Event::putOddEntry:
        this->putOddEntry(choice);
        break;
      case Event::cutFromStore:
        this->fleet.cutFromStore.insert(this->instance(choice));
        break;
      case Event::cutFromPeers:
        this->fleet.disconnected[this->instance(choice)] = true;
        break;
      case Event::loseMessages:
        this->fleet.loss = 0.3;
        break;
      case Event::muteInstance:
        this->fleet.muted[this->instance(choice)] = true;
        break;
      case Event::restartInstance:
        this->startInstance(
          static_cast<std::uint16_t>(1 + choice % kInstances));
        break;
      case Event::restartAll:
        for (std::uint16_t port = 1; port <= kInstances; ++port) {
          this->startInstance(port);
        }
        break;
      case Event::connect:
        this->fleet.cutFromStore.clear();
        this->fleet.disconnected.clear();
        this->fleet.muted.clear();
        this->fleet.loss = 0;
        break;
      default:
        break;
    }
  }

  void startInstance(std::uint16_t port)
  {
    this->fleet.start(port);
    std::erase_if(this->knownDrains, [port](const auto& known) {
      return std::get<0>(known) == FleetWorld::addressOf(port);
    });
  }

  void putOddEntry(std::size_t choice)
  {
    if (this->fleet.isStoreAway) {
      return;
    }
    const std::string prefix(platform::kTargetKeyPrefix);
    const std::string number = hexDigits(1 + choice % (this->nextNumber - 1));
    ModelTarget odd;
    odd.number = 4000 + choice;
    switch (choice % 4) {
      case 0:
        this->fleet.store.put(prefix + "i-5 a&b#c%", "\xff{");
        break;
      case 1:
        // Another writer's entry with the number of a target.
        this->fleet.store.put(prefix + "x-" + number, entryOf(odd));
        break;
      case 2:
        this->fleet.store.remove(prefix + "x-" + number);
        break;
      default:
        this->fleet.store.put(prefix + "i-zz", std::string(200, '['));
        break;
    }
  }

  void end(ModelTarget& target)
  {
    target.isRunning = false;
    target.endedAt = this->fleet.now;
    std::erase_if(this->flows, [&target](const ModelFlow& flow) {
      return flow.target == target.number;
    });
  }

  /// \returns the target that an entry names, or a null pointer if it is
  /// another writer's.
  const ModelTarget* find(const TargetRecord& record) const
  {
    const bool isOwn = record.id == "i-" + hexDigits(record.number);
    return isOwn ? this->find(record.number) : nullptr;
  }

  const ModelTarget* find(std::uint64_t number) const
  {
    for (const ModelTarget& target : this->targets) {
      if (target.number == number) {
        return &target;
      }
    }
    return nullptr;
  }

  void run(MilliDuration span)
  {
    const MilliTime end = this->fleet.now + span;
    while (this->fleet.now < end) {
      this->fleet.step([this](const TargetRecord& record) {
        const ModelTarget* target = this->find(record);
        return target != nullptr && target->isRunning;
      });
      this->recordDisruptions();
      this->checkPositions();
      ++this->ticks;
      if (this->ticks % 60 == 0) {
        this->renewEntries();
      }
      if (this->ticks % 20 == 0) {
        const bool usesRouteAtTimes =
          this->hasRouteAtTimes && this->ticks % 40 == 0;
        this->openFlow(this->instance(this->nextFlow),
                       usesRouteAtTimes ? kRouteAtTimes : kRoute);
        this->sendOnFlows();
        this->checkConfigurations();
        this->recordKnownDrains();
      }
    }
  }

  /// \brief Targets and the operator write again what the store has lost;
  /// entries of targets that have ended expire.
  void renewEntries()
  {
    if (this->fleet.isStoreAway) {
      return;
    }
    for (ModelTarget& target : this->targets) {
      const auto entry = this->fleet.store.find(keyOf(target.number));
      if (target.isRunning && entry != entryOf(target)) {
        this->write(target);
      }
      const MilliTime silentSince = std::max(target.endedAt, this->restoredAt);
      if (!target.isRunning && entry &&
          this->fleet.now - silentSince > 3600_ms) {
        this->fleet.store.remove(keyOf(target.number));
      }
    }
    if (this->fleet.store.find(std::string(platform::kRoutesKey)) !=
        this->configuration()) {
      this->writeConfiguration();
    }
  }

  void openFlow(const Endpoint& at, const char* destination)
  {
    const unsigned id = this->nextFlow++;
    const FlowKey key = flowOf(1 + id % 60000, destination);
    TagEngine& engine = this->fleet.at(at);
    const SteeringDecision placed =
      engine.onPacket(opening(key), this->fleet.now);
    if (placed.outcome != SteeringOutcome::forward) {
      return;
    }
    const TargetRecord& record =
      engine.board().registry.at(placed.target).record;
    const std::uint64_t number = record.number;
    const ModelTarget* target = this->find(record);
    if (target == nullptr || !target->isRunning) {
      return;
    }
    const bool isLate =
      target->drainedAt && this->fleet.now - *target->drainedAt > kApplyLimit;
    RC_ASSERT_FALSE(isLate && this->isInTouch(at));
    const bool wasKnown =
      this->knownDrains.contains({ at, number, target->born });
    RC_ASSERT_FALSE(wasKnown && target->isDraining);
    this->flows.push_back({ key, placed.tag, number, target->born });
  }

  /// \brief Whoever holds a position holds the configuration that the store
  /// had there, or a later one.
  void checkPositions()
  {
    for (const auto& [address, engine] : this->fleet.engines) {
      const TagBlackboard& board = engine->board();
      const StorePosition position =
        board.routesPosition.value_or(StorePosition{});
      const auto next = this->versionsWritten.upper_bound(position.revision);
      const bool isKnown = position.era == this->fleet.store.era() &&
                           next != this->versionsWritten.begin();
      if (isKnown) {
        RC_ASSERT(board.routes.version() >= std::prev(next)->second);
      }
    }
  }

  void checkConfigurations()
  {
    const bool isDue = this->versionAcceptedAt &&
                       this->fleet.now - *this->versionAcceptedAt > kApplyLimit;
    for (const auto& [address, engine] : this->fleet.engines) {
      if (isDue && this->isInTouch(address)) {
        RC_ASSERT(engine->board().routes.version() == this->version);
      }
    }
  }

  void recordKnownDrains()
  {
    for (const auto& [address, engine] : this->fleet.engines) {
      const TargetRegistry& registry = engine->board().registry;
      for (const ModelTarget& target : this->targets) {
        const TargetSlot slot = registry.find("i-" + hexDigits(target.number));
        const bool knowsDrain =
          target.isRunning && target.isDraining && slot != kNoTargetSlot &&
          registry.at(slot).record.state == TargetState::draining &&
          registry.at(slot).record.incarnation == target.born;
        if (knowsDrain) {
          this->knownDrains.insert({ address, target.number, target.born });
        }
      }
    }
  }

  /// \brief Each caller sends a packet, through any instance.
  void sendOnFlows()
  {
    for (ModelFlow& flow : this->flows) {
      const ModelTarget* target = this->find(flow.target);
      if (target->born != flow.born) {
        continue;
      }
      flow.sequence += 10;
      const Endpoint at = this->instance(flow.sequence / 10 + flow.target);
      const SteeringDecision decision = this->fleet.at(at).onPacket(
        flowPacket(flow.key, flow.tag, flow.sequence, flow.sequence, 10),
        this->fleet.now);
      RC_ASSERT(decision.outcome != SteeringOutcome::reset);
      if (decision.outcome == SteeringOutcome::forward) {
        const auto& record =
          this->fleet.at(at).board().registry.at(decision.target).record;
        RC_ASSERT(record.id == "i-" + hexDigits(flow.target));
      }
    }
    if (this->flows.size() > 12) {
      this->flows.erase(this->flows.begin());
    }
  }
};

rc::Gen<HistoryStep>
arbitraryStep()
{
  return rc::gen::map(
    rc::gen::tuple(rc::gen::inRange(0, kEventCount),
                   rc::gen::inRange<std::size_t>(0, 60),
                   rc::gen::oneOf(rc::gen::inRange<std::int64_t>(0, 60),
                                  rc::gen::inRange<std::int64_t>(0, 4000))),
    [](const std::tuple<int, std::size_t, std::int64_t>& drawn) {
      return HistoryStep{ static_cast<Event>(std::get<0>(drawn)),
                          std::get<1>(drawn),
                          MilliDuration{ std::get<2>(drawn) } };
    });
}

[[maybe_unused]] void
showValue(const HistoryStep& step, std::ostream& out)
{
  out << "{" << static_cast<int>(step.event) << "," << step.choice << ","
      << step.gap.ms << "}";
}

}

/// After any history, once an instance can read the store or a peer that does,
/// it holds what the store holds, and no flow of a living target was reset.
Test(histories, all_instances_agree_with_the_store_at_the_end)
{
  const bool holds = rc::check("instances agree with the store", [] {
    const auto steps =
      *rc::gen::container<std::vector<HistoryStep>>(arbitraryStep());
    History history;
    for (const HistoryStep& step : steps) {
      history.apply(step);
    }
    history.settle();
    history.checkAgreement();
  });
  cr_assert(holds);
}
