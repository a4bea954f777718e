#ifndef BUCKTHORNWING_MEASURE_FAKE_NETWORK_H
#define BUCKTHORNWING_MEASURE_FAKE_NETWORK_H

#include <Core>

#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace buckthornwing::measure {

/// \brief What the network does to messages between instances.
struct LinkFaults
{
  double loss = 0;
  double duplication = 0;
  double reordering = 0; ///< share of messages that are held back
};

/// \brief A virtual clock with events, and links between zones that delay,
/// lose, double and reorder, and that a partition cuts.
class FakeNetwork
{
public:
  using Action = std::function<void()>;

  FakeNetwork(std::uint64_t seed, std::int64_t betweenZonesMs)
    : random{ seed }
    , betweenZonesMs(betweenZonesMs)
  {
  }

  MilliTime now() const { return this->time; }

  /// \brief Runs an action after a delay.
  void after(MilliDuration delay, Action action)
  {
    this->events.push(
      Event{ this->time + delay, this->nextSequence++, std::move(action) });
  }

  /// \brief Runs events up to a time.
  void runUntil(MilliTime end)
  {
    while (!this->events.empty() && this->events.top().at <= end) {
      // The queue's top is const only to keep its order, which pop() ends.
      Event event = std::move(const_cast<Event&>(this->events.top()));
      this->events.pop();
      this->time = event.at;
      event.action();
    }
    this->time = end;
  }

  /// \returns whether a zone is cut off from all others and the platform.
  bool cut(const std::string& zone) const { return zone == this->cutZone; }

  bool reachable(const std::string& from, const std::string& to) const
  {
    return from == to || (!this->cut(from) && !this->cut(to));
  }

  /// \brief Delivers an action across a link, or loses it.
  /// \param faults apply on top of what links between zones always do
  void carry(const std::string& from,
             const std::string& to,
             const LinkFaults& faults,
             const Action& deliver)
  {
    if (!this->reachable(from, to)) {
      return;
    }
    constexpr double kWideAreaLoss = 0.001;
    const bool wide = from != to;
    if (this->random.unit() < faults.loss ||
        (wide && this->random.unit() < kWideAreaLoss)) {
      return;
    }
    this->after(this->delay(wide, faults), deliver);
    if (this->random.unit() < faults.duplication) {
      this->after(this->delay(wide, faults), deliver);
    }
  }

  Random random;
  std::string cutZone;

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
  std::int64_t betweenZonesMs;
  std::uint64_t nextSequence = 0;
  std::priority_queue<Event> events;

  MilliDuration delay(bool wide, const LinkFaults& faults)
  {
    constexpr std::int64_t kWithinZoneMs = 1;
    constexpr std::uint64_t kJitterMs = 3;
    constexpr std::int64_t kHeldBackMs = 20;
    std::int64_t ms = kWithinZoneMs;
    if (wide) {
      ms = this->betweenZonesMs +
           static_cast<std::int64_t>(this->random.below(kJitterMs));
    }
    if (this->random.unit() < faults.reordering) {
      ms += kHeldBackMs;
    }
    return MilliDuration{ ms };
  }
};

}

#endif
