#ifndef BUCKTHORNWING_TEST_FLEET_WORLD_H
#define BUCKTHORNWING_TEST_FLEET_WORLD_H

#include "TagFixture.h"

#include <Fleet>

#include <criterion/criterion.h>

#include <array>
#include <deque>
#include <map>
#include <memory>

namespace buckthornwing::test {

using namespace buckthornwing::literals;

/// \brief A message in transit.
struct Delivery
{
  MilliTime at{};
  Endpoint to;
  FleetMessage message;
};

/// \brief Simulated fleet: engines in zones, which exchange messages over a
/// network with loss and delay, in virtual time.
struct FleetWorld
{
  std::deque<Delivery> inTransit;
  MilliTime now{ 100000 };
  std::map<Endpoint, std::unique_ptr<TagEngine>> engines;
  std::map<Endpoint, bool> disconnected; ///< by address
  std::map<Endpoint, bool> muted;        ///< its messages are lost; by address
  Random random{ 3 };
  double loss = 0;         ///< probability that a message is lost
  MilliDuration delay{};   ///< of each message
  double linkMegabits = 0; ///< of instances that are added
  double cpuShare = 0;     ///< of instances that are added
  /// Instances of a version without capacity classes; by address.
  std::map<Endpoint, bool> knowsNoClasses;
  /// Encoded messages with parts of views that were sent; by sender.
  std::map<Endpoint, std::size_t> viewBytes;

  static Endpoint addressOf(std::uint16_t port)
  {
    Endpoint address = *parseEndpoint("127.0.0.1:1");
    address.port = port;
    return address;
  }

  Endpoint add(const std::string& zone, std::uint16_t port)
  {
    TagSettings settings;
    settings.id = "entry-" + std::to_string(port);
    settings.zone = zone;
    settings.advertisedAddress = addressOf(port);
    settings.tagSecret = 7;
    settings.seed = port;
    settings.linkMegabits = this->linkMegabits;
    settings.cpuShare = this->cpuShare;
    settings.incarnation = static_cast<std::uint64_t>(this->now.ms);
    settings.seeds = { *parseEndpoint("127.0.0.1:1"),
                       *parseEndpoint("127.0.0.1:9999") };
    const Endpoint address = settings.advertisedAddress;
    this->engines[address] = std::make_unique<TagEngine>(settings);
    return address;
  }

  void addInThreeZones(std::uint16_t count)
  {
    const std::array<std::string, 3> zones{ "a", "b", "c" };
    for (std::uint16_t port = 1; port <= count; ++port) {
      this->add(zones[port % zones.size()], port);
    }
  }

  TagEngine& at(const Endpoint& address) { return *this->engines[address]; }

  void load(const Endpoint& address, std::uint64_t version)
  {
    std::vector<TargetChange> changes;
    for (std::uint64_t i = 1; i <= 6; ++i) {
      changes.push_back(listed(i, i, "booking", i % 2 == 0 ? "a" : "b"));
    }
    listTargets(this->at(address), 6, changes, this->now);
    publishRoutes(this->at(address), twoRoutes(version), this->now);
  }

  /// \brief Removes what a version without capacity classes does not read.
  static void removeClasses(FleetMessage& message)
  {
    message.sender.capacityClass = 0;
    if (auto* heartbeat = std::get_if<FleetHeartbeat>(&message.body)) {
      for (GossipedMember& gossip : heartbeat->members) {
        gossip.member.capacityClass = 0;
      }
    }
  }

  void countViewBytes(const Endpoint& from, const FleetMessage& message)
  {
    if (std::holds_alternative<ViewPart>(message.body)) {
      this->viewBytes[from] += encodeFleetMessage(message).size();
    }
  }

  void deliver()
  {
    std::vector<std::pair<Endpoint, FleetMessage>> messages;
    for (auto& [from, engine] : this->engines) {
      for (OutgoingFleetMessage& outgoing : engine->takeOutgoing()) {
        this->countViewBytes(from, outgoing.message);
        const bool passes = !this->disconnected[from] && !this->muted[from] &&
                            !this->disconnected[outgoing.to] &&
                            this->random.unit() >= this->loss;
        if (passes && this->engines.contains(outgoing.to)) {
          messages.emplace_back(outgoing.to, std::move(outgoing.message));
        }
      }
    }
    for (auto& [to, message] : messages) {
      this->inTransit.push_back(
        { this->now + this->delay, to, std::move(message) });
    }
    while (!this->inTransit.empty() &&
           this->inTransit.front().at <= this->now) {
      const Delivery due = std::move(this->inTransit.front());
      this->inTransit.pop_front();
      const Endpoint& to = due.to;
      const FleetMessage& message = due.message;
      FleetMessage decoded;
      const std::string bytes = encodeFleetMessage(message);
      cr_assert(decodeFleetMessage(
        { reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size() },
        decoded));
      if (this->knowsNoClasses[to]) {
        removeClasses(decoded);
      }
      this->at(to).onFleetMessage(decoded, this->now);
    }
  }

  /// \brief Lets the store confirm the view of load() to all connected
  /// instances that read it.
  /// \returns the number of these instances
  std::size_t confirmAtReaders()
  {
    std::size_t count = 0;
    for (auto& [address, engine] : this->engines) {
      if (!this->disconnected[address] && engine->shouldReadStore(this->now)) {
        confirmView(*engine, this->now);
        ++count;
      }
    }
    return count;
  }

  /// \brief Advances the time in steps of 5 ms, far less than the time between
  /// ticks, and delivers messages after each step.
  void run(MilliDuration span)
  {
    constexpr MilliDuration kStep{ 5 };
    const MilliTime end = this->now + span;
    while (this->now < end) {
      this->now = this->now + kStep;
      if (this->now.ms % kTagTickPeriod.ms == 0) {
        for (auto& [address, engine] : this->engines) {
          engine->tick(this->now);
        }
      }
      this->deliver();
    }
  }
};

}

#endif
