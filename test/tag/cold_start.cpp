/// \file
/// \brief Tests of a fleet whose instances all start at nearly the same time,
/// for example after a power failure, and read the view from one store.
///
/// The engines run in virtual time. Only transfers over the links of the
/// instances and of the store take time.

#include "TagFixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>

using namespace buckthornwing;
using namespace buckthornwing::literals;
using namespace buckthornwing::test;

namespace {

constexpr MilliDuration kStep{ 5 };
/// \brief All instances start within this time.
constexpr MilliDuration kStartSpread{ 400 };
constexpr double kBitsPerByte = 8;
constexpr double kStoreMegabits = 200;
constexpr std::size_t kInstances = 60;
constexpr std::size_t kTargets = 200;
constexpr std::size_t kRoutes = 2500;
/// \brief Size of the store's listings of targets and routes together.
constexpr double kListingBytes = 700000;

/// \returns the transfer time of bytes in milliseconds at a rate in Mbit/s.
double
transferMs(double bytes, double megabits)
{
  return bytes * kBitsPerByte / (megabits * 1000);
}

/// \brief A starting instance with its link and its read of the store.
struct StartingInstance
{
  MilliTime startsAt{};
  double megabits = 0;    ///< rate of its link in Mbit/s
  bool isRefused = false; ///< the store refuses its reads
  std::unique_ptr<TagEngine> engine;
  double leftToRead = 0;   ///< remaining bytes of the listing being read
  double uplinkFreeAt = 0; ///< time at which its outgoing queue is empty, ms
  MilliTime readyAt{};     ///< time at which it first had the current view
};

/// \brief A message between instances that has not arrived yet.
struct Delivery
{
  double at = 0;
  Endpoint to;
  FleetMessage message;
};

/// \brief Simulation of a fleet without any view and of the store that it
/// reads.
class ColdStart
{
public:
  std::uint64_t version = 7;
  std::size_t reads = 0;

  /// \param megabits rate of most instances' links in Mbit/s
  /// \param cpuShare known to each instance; 0 if unknown, so that none has a
  /// capacity class
  explicit ColdStart(double megabits, double cpuShare = 0)
    : cpuShare(cpuShare)
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      this->targets.push_back(listed(i + 1, i + 1, "booking", zoneOf(i)));
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      StartingInstance instance;
      const auto delay =
        this->random.below(static_cast<std::uint64_t>(kStartSpread.ms) / 5);
      instance.startsAt =
        this->now + MilliDuration{ 5 * static_cast<std::int64_t>(delay) };
      // The links of a few instances in each zone are ten times as fast.
      instance.megabits = i < 6 ? 10 * megabits : megabits;
      this->instances.emplace(addressOf(i), std::move(instance));
    }
  }

  StartingInstance& at(std::size_t index)
  {
    return this->instances.at(addressOf(index));
  }

  bool allReady() const
  {
    return std::all_of(
      this->instances.begin(), this->instances.end(), [](const auto& each) {
        return each.second.readyAt.ms != 0;
      });
  }

  /// \returns the longest time from the start of an instance until it was
  /// ready.
  MilliDuration slowestStart() const
  {
    MilliDuration slowest{};
    for (const auto& [address, instance] : this->instances) {
      slowest = std::max(slowest, instance.readyAt - instance.startsAt);
    }
    return slowest;
  }

  /// \returns the time until all instances are ready, or the limit.
  MilliDuration run(MilliDuration limit)
  {
    const MilliTime begun = this->now;
    while (!this->allReady() && this->now - begun < limit) {
      this->step();
    }
    const MilliDuration took = this->now - begun;
    cr_log_info("all instances ready after %lld ms, the slowest start took "
                "%lld ms, %zu reads of the store",
                static_cast<long long>(took.ms),
                static_cast<long long>(this->slowestStart().ms),
                this->reads);
    return took;
  }

  void step()
  {
    this->now = this->now + kStep;
    for (auto& [address, instance] : this->instances) {
      this->startIfDue(address, instance);
    }
    this->readOn();
    this->deliver();
    for (auto& [address, instance] : this->instances) {
      this->tick(instance);
    }
    this->collect();
  }

private:
  MilliTime now{ 100000 };
  Random random{ 5 };
  double cpuShare;
  std::vector<TargetChange> targets;
  std::map<Endpoint, StartingInstance> instances;
  std::vector<Delivery> inFlight;

  static std::string zoneOf(std::size_t index)
  {
    return std::string(1, static_cast<char>('a' + index % 3));
  }

  static Endpoint addressOf(std::size_t index)
  {
    Endpoint address = *parseEndpoint("127.0.0.1:1");
    address.port = static_cast<std::uint16_t>(index + 1);
    return address;
  }

  void startIfDue(const Endpoint& address, StartingInstance& instance)
  {
    if (instance.engine != nullptr || this->now < instance.startsAt) {
      return;
    }
    TagSettings settings;
    settings.id = "entry-" + std::to_string(address.port);
    settings.zone = zoneOf(address.port);
    settings.advertisedAddress = address;
    settings.tagSecret = 7;
    settings.seed = address.port;
    settings.incarnation = static_cast<std::uint64_t>(this->now.ms);
    settings.seeds = { addressOf(10), addressOf(20), addressOf(30) };
    settings.linkMegabits = instance.megabits;
    settings.cpuShare = this->cpuShare;
    instance.engine = std::make_unique<TagEngine>(settings);
    instance.engine->tick(this->now);
  }

  void readOn()
  {
    std::size_t readers = 0;
    for (auto& [address, instance] : this->instances) {
      const bool wants = instance.engine != nullptr &&
                         !instance.engine->board().hasView() &&
                         instance.engine->shouldReadStore(this->now);
      if (wants && !instance.isRefused && instance.leftToRead == 0) {
        instance.leftToRead = kListingBytes;
        ++this->reads;
      }
      readers += instance.leftToRead > 0 ? 1 : 0;
    }
    for (auto& [address, instance] : this->instances) {
      if (instance.leftToRead > 0) {
        this->readOn(instance, kStoreMegabits / static_cast<double>(readers));
      }
    }
  }

  void readOn(StartingInstance& instance, double share)
  {
    const double megabits = std::min(share, instance.megabits);
    instance.leftToRead -=
      megabits * 1000 / kBitsPerByte * static_cast<double>(kStep.ms);
    if (instance.leftToRead > 0) {
      return;
    }
    instance.leftToRead = 0;
    listTargets(*instance.engine, kTargets, this->targets, this->now);
    publishRoutes(
      *instance.engine, manyRoutes(this->version, kRoutes), this->now);
  }

  void tick(StartingInstance& instance)
  {
    if (instance.engine == nullptr) {
      return;
    }
    if ((this->now - instance.startsAt).ms % kTagTickPeriod.ms == 0) {
      instance.engine->tick(this->now);
    }
    const bool isNew =
      instance.engine->board().hasView() &&
      instance.engine->board().routes.version() == this->version;
    if (isNew && instance.readyAt.ms == 0) {
      instance.readyAt = this->now;
    }
  }

  void collect()
  {
    for (auto& [address, instance] : this->instances) {
      if (instance.engine == nullptr) {
        continue;
      }
      for (OutgoingFleetMessage& outgoing : instance.engine->takeOutgoing()) {
        const double bytes =
          static_cast<double>(encodeFleetMessage(outgoing.message).size());
        instance.uplinkFreeAt =
          std::max(instance.uplinkFreeAt, static_cast<double>(this->now.ms)) +
          transferMs(bytes, instance.megabits);
        this->inFlight.push_back(
          { instance.uplinkFreeAt, outgoing.to, std::move(outgoing.message) });
      }
    }
  }

  void deliver()
  {
    std::vector<Delivery> due;
    std::erase_if(this->inFlight, [&](Delivery& each) {
      const bool isDue = each.at <= static_cast<double>(this->now.ms);
      if (isDue) {
        due.push_back(std::move(each));
      }
      return isDue;
    });
    for (const Delivery& each : due) {
      const auto found = this->instances.find(each.to);
      if (found != this->instances.end() && found->second.engine != nullptr) {
        found->second.engine->onFleetMessage(each.message, this->now);
      }
    }
  }
};

/// \brief Longest allowed time from the start of an instance until it is ready,
/// if the store or a peer can provide a view.
constexpr MilliDuration kMaxStartTime{ 1000 };

}

/// Guards against all instances reading the store at once: 60 parallel reads
/// would take 1.7 s over the store's link of 200 Mbit/s.
Test(cold_start, with_links_of_20_mbit_all_are_ready_within_a_second)
{
  ColdStart world(20);
  world.run(10_s);
  cr_assert(world.allReady());
  cr_assert_leq(world.slowestStart().ms, kMaxStartTime.ms);
  cr_assert_leq(world.reads, kInstances / 2);
}

/// The few instances of a higher class must not delay a start by what the
/// others request of them.
Test(cold_start, with_capacity_classes_all_are_ready_within_a_second)
{
  constexpr double kCpuShare = 0.5;
  ColdStart world(20, kCpuShare);
  world.run(10_s);
  cr_assert(world.allReady());
  cr_assert_leq(world.slowestStart().ms, kMaxStartTime.ms);
  cr_assert_leq(world.reads, kInstances / 2);
}

/// Here the instances' own links limit the rate, so reading the store in
/// parallel is the fastest way.
Test(cold_start, with_links_of_2_mbit_a_start_takes_at_most_two_transfers)
{
  ColdStart world(2);
  world.run(20_s);
  cr_assert(world.allReady());
  cr_assert_leq(static_cast<double>(world.slowestStart().ms),
                2 * transferMs(kListingBytes, 2));
}

Test(cold_start, instances_that_the_store_refuses_get_the_view_from_peers)
{
  ColdStart world(20);
  for (std::size_t i = 0; i < kInstances; i += 3) {
    world.at(i).isRefused = true;
  }
  world.run(10_s);
  cr_assert(world.allReady());
  cr_assert_leq(world.slowestStart().ms, kMaxStartTime.ms);
}

Test(cold_start, a_configuration_that_changes_during_the_start_reaches_all)
{
  ColdStart world(20);
  for (int i = 0; i < 60; ++i) {
    world.step();
  }
  world.version = 9;
  // Instances that read the old version get the new one from those that read
  // later.
  cr_assert_leq(world.run(10_s).ms, 3000);
}
