#ifndef BUCKTHORNWING_MEASURE_SIMULATED_NETWORK_H
#define BUCKTHORNWING_MEASURE_SIMULATED_NETWORK_H

#include <Core>

#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace buckthornwing::measure {

/// \brief Faults of the links between instances, as shares of messages from 0
/// to 1.
struct LinkFaults
{
  double loss = 0;
  double duplication = 0;
  double reordering = 0; ///< delayed, so that later messages overtake them
};

/// \brief A discrete-event simulation of a network: a virtual clock with an
/// event queue, and links that delay, lose, duplicate and reorder messages. A
/// partition can isolate one zone.
class SimulatedNetwork
{
public:
  using Action = std::function<void()>;

  /// \param seed seed of all random numbers of the simulation
  /// \param interZoneDelayMs one-way delay between zones in milliseconds,
  /// without jitter
  SimulatedNetwork(std::uint64_t seed, std::int64_t interZoneDelayMs)
    : random{ seed }
    , interZoneDelayMs(interZoneDelayMs)
  {
  }

  MilliTime now() const { return this->time; }

  /// \brief Schedules an action. Actions of the same time run in the order in
  /// which they were scheduled.
  void schedule(MilliDuration delay, Action action)
  {
    this->events.push(
      Event{ this->time + delay, this->nextSequence++, std::move(action) });
  }

  /// \brief Runs all events up to and including a time, which then is now().
  void runUntil(MilliTime end)
  {
    while (!this->events.empty() && this->events.top().at <= end) {
      // top() is const to protect the queue's order; moving from it is safe
      // because pop() follows.
      Event event = std::move(const_cast<Event&>(this->events.top()));
      this->events.pop();
      this->time = event.at;
      event.action();
    }
    this->time = end;
  }

  /// \returns whether a partition separates a zone from all other zones and
  /// from the platform.
  bool isIsolated(const std::string& zone) const
  {
    return zone == this->isolatedZone;
  }

  /// \returns whether messages between two zones can arrive.
  bool reachable(const std::string& from, const std::string& to) const
  {
    return from == to || (!this->isIsolated(from) && !this->isIsolated(to));
  }

  /// \brief Sends a message over the link between two zones, which may be the
  /// same. Does nothing if a partition separates them.
  /// \param faults faults of this link, besides the loss and the jitter that
  /// links between different zones always have
  /// \param deliver runs once for each copy that arrives; never if the message
  /// is lost
  void transmit(const std::string& from,
                const std::string& to,
                const LinkFaults& faults,
                const Action& deliver)
  {
    if (!this->reachable(from, to)) {
      return;
    }
    constexpr double kCrossZoneLossRate = 0.001;
    const bool crossZone = from != to;
    if (this->random.unit() < faults.loss ||
        (crossZone && this->random.unit() < kCrossZoneLossRate)) {
      return;
    }
    this->schedule(this->delay(crossZone, faults), deliver);
    if (this->random.unit() < faults.duplication) {
      this->schedule(this->delay(crossZone, faults), deliver);
    }
  }

  Random random;
  std::string isolatedZone; ///< empty without a partition

private:
  struct Event
  {
    MilliTime at{};
    std::uint64_t sequence = 0;
    Action action;

    bool operator<(const Event& other) const
    {
      return this->at != other.at ? this->at > other.at
                                  : this->sequence > other.sequence;
    }
  };

  MilliTime time{};
  std::int64_t interZoneDelayMs;
  std::uint64_t nextSequence = 0;
  std::priority_queue<Event> events;

  MilliDuration delay(bool crossZone, const LinkFaults& faults)
  {
    constexpr std::int64_t kWithinZoneMs = 1;
    constexpr std::uint64_t kJitterMs = 3;
    constexpr std::int64_t kReorderingDelayMs = 20;
    std::int64_t ms = kWithinZoneMs;
    if (crossZone) {
      ms = this->interZoneDelayMs +
           static_cast<std::int64_t>(this->random.below(kJitterMs));
    }
    if (this->random.unit() < faults.reordering) {
      ms += kReorderingDelayMs;
    }
    return MilliDuration{ ms };
  }
};

}

#endif
