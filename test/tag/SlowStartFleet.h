#ifndef BUCKTHORNWING_TEST_SLOW_START_FLEET_H
#define BUCKTHORNWING_TEST_SLOW_START_FLEET_H

#include "BusiestSecond.h"

#include <Core>
#include <SlowStart>

#include <algorithm>
#include <map>
#include <vector>

namespace buckthornwing::test {

using namespace buckthornwing::literals;

/// \brief Faults that a SlowStartFleet simulates.
enum class SlowStartFaults
{
  none,
  ofInstances, ///< instances join, crash, pause and stop
  all,         ///< and, once, parts of the fleet can't reach each other
};

/// \brief Simulated instances that place as many flows on cold targets as their
/// limiters permit. They learn of each other's changes with random delays.
class SlowStartFleet
{
public:
  static constexpr std::size_t kTargets = 4;

  SlowStartFleet(std::uint64_t seed, SlowStartFaults faults)
    : random{ seed }
    , faults(faults)
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      // No instance is in the last zone.
      this->targets.push_back({ TargetKey{ this->random.next() },
                                this->random.below(kZones + 1),
                                2 + this->random.unit() * 28 });
    }
    const std::size_t count = 2 + this->random.below(11);
    for (std::size_t i = 0; i < count; ++i) {
      this->join();
    }
    this->scheduleSeparation();
  }

  void run(MilliDuration span)
  {
    const MilliTime end = this->now + span;
    while (this->now < end) {
      this->now = this->now + kStep;
      this->disturb();
      this->spreadNews();
      for (Instance& instance : this->instances) {
        this->step(instance);
      }
    }
  }

  /// \returns for each target that got flows the most that arrived in any
  /// second.
  std::vector<std::pair<ColdTarget, std::size_t>> busiestSeconds() const
  {
    std::vector<std::pair<ColdTarget, std::size_t>> result;
    for (const auto& [index, times] : this->arrivals) {
      result.emplace_back(this->targets[index], busiestSecond(times));
    }
    return result;
  }

  /// \returns the number of flows that a target got in the last \a span.
  std::size_t countLast(std::size_t target, MilliDuration span) const
  {
    const auto found = this->arrivals.find(target);
    if (found == this->arrivals.end()) {
      return 0;
    }
    return static_cast<std::size_t>(std::count_if(
      found->second.begin(), found->second.end(), [&](MilliTime at) {
        return this->now - at < span;
      }));
  }

  const ColdTarget& target(std::size_t index) const
  {
    return this->targets[index];
  }

private:
  static constexpr std::size_t kZones = 3;
  static constexpr std::size_t kMaxInstances = 24;
  static constexpr MilliDuration kStep{ 20 };
  static constexpr MilliDuration kTick{ 100 };
  static constexpr std::int64_t kMaxLagMs = 3000;
  static constexpr std::int64_t kMaxTravelMs = 100; ///< to a target
  static constexpr MilliDuration kMemberTimeout{ 4000 };

  /// \brief A change that an observer will see.
  struct News
  {
    MilliTime at{};
    bool isVisible = false;
  };

  /// \brief What one instance knows of another.
  struct Seen
  {
    bool isVisible = false;
    bool latest = false; ///< of the newest change, which may not be seen yet
    std::vector<News> pending;
  };

  struct Instance
  {
    ActiveMember member;
    SlowStartLimiter limiter;
    MilliTime joinedAt{};
    MilliTime nextTick{};
    MilliTime pausedAt{};
    MilliTime pausedUntil{};
    MilliTime silentSince{}; ///< after a crash or stop; 0: it runs
    bool isStopping = false;
    std::size_t part = 0;             ///< of a separated fleet
    std::map<std::size_t, Seen> seen; ///< by index of the other instance
  };

  Random random;
  SlowStartFaults faults;
  MilliTime now{ 100000 };
  std::vector<ColdTarget> targets;
  std::vector<Instance> instances;
  std::map<std::size_t, std::vector<MilliTime>> arrivals; ///< by target
  MilliTime separatedAt{};
  MilliTime joinedAgainAt{};
  std::size_t parts = 1;

  MilliDuration upTo(std::int64_t ms)
  {
    const auto bound = static_cast<std::uint64_t>(ms) + 1;
    return { static_cast<std::int64_t>(this->random.below(bound)) };
  }

  bool chance(double probability) { return this->random.unit() < probability; }

  void scheduleSeparation()
  {
    if (this->faults != SlowStartFaults::all) {
      return;
    }
    this->separatedAt = this->now + 8_s + this->upTo(15000);
    this->joinedAgainAt = this->separatedAt + 1_s + this->upTo(25000);
    this->parts = 2 + this->random.below(2);
  }

  bool isSeparated() const
  {
    return this->now >= this->separatedAt && this->now < this->joinedAgainAt;
  }

  void join()
  {
    Instance instance;
    instance.member = { this->random.next(), this->random.below(kZones) };
    instance.joinedAt = this->now;
    instance.nextTick = this->now + this->upTo(kTick.ms);
    instance.part = this->random.below(this->parts);
    this->instances.push_back(std::move(instance));
  }

  /// \returns whether a start now would know one of three parts only.
  bool wouldStartInAThird() const
  {
    return this->parts > 2 && this->now >= this->separatedAt &&
           this->now < this->joinedAgainAt + kMemberTimeout;
  }

  void disturb()
  {
    if (this->faults == SlowStartFaults::none) {
      return;
    }
    if (this->now.ms == this->separatedAt.ms / kStep.ms * kStep.ms) {
      for (Instance& instance : this->instances) {
        instance.part = this->random.below(this->parts);
      }
    }
    if (this->chance(0.004) && this->instances.size() < kMaxInstances &&
        !this->wouldStartInAThird()) {
      this->join();
    }
    Instance& victim =
      this->instances[this->random.below(this->instances.size())];
    const bool isRunning =
      victim.silentSince.ms == 0 && this->now >= victim.pausedUntil;
    if (!isRunning || !this->chance(0.01)) {
      return;
    }
    const std::uint64_t fault = this->random.below(4);
    if (fault == 0) {
      victim.silentSince = this->now;
    } else if (fault == 1) {
      victim.isStopping = true;
      victim.silentSince = this->now + this->upTo(5000);
    } else {
      victim.pausedAt = this->now;
      victim.pausedUntil = this->now + this->upTo(15000);
    }
  }

  bool hasEnded(const Instance& instance) const
  {
    return instance.silentSince.ms != 0 && this->now >= instance.silentSince;
  }

  /// \returns whether members that hear of an instance take it for active.
  bool isVisible(const Instance& instance) const
  {
    const bool isLost = this->hasEnded(instance) &&
                        this->now - instance.silentSince > kMemberTimeout;
    const bool isLongPaused =
      this->now<instance.pausedUntil&& this->now - instance.pausedAt>
        kMemberTimeout;
    return !instance.isStopping && !isLost && !isLongPaused;
  }

  bool isReachable(const Instance& from, const Instance& to) const
  {
    return !this->isSeparated() || from.part == to.part ||
           this->now - this->separatedAt <= kMemberTimeout;
  }

  void spreadNews()
  {
    for (Instance& observer : this->instances) {
      for (std::size_t i = 0; i < this->instances.size(); ++i) {
        const Instance& other = this->instances[i];
        if (&other == &observer) {
          continue;
        }
        Seen& seen = observer.seen[i];
        const bool visible =
          this->isVisible(other) && this->isReachable(observer, other);
        if (visible != seen.latest) {
          seen.latest = visible;
          seen.pending.push_back(
            { this->now + this->upTo(kMaxLagMs), visible });
        }
      }
    }
  }

  /// \returns the members that an instance sees now.
  ActiveMembers membersAt(Instance& instance)
  {
    ActiveMembers members;
    members.own = instance.member;
    members.isOwnActive = !instance.isStopping;
    members.expectsPeers = true;
    for (auto& [index, seen] : instance.seen) {
      // The newest change that has arrived counts.
      for (std::size_t i = seen.pending.size(); i > 0; --i) {
        if (seen.pending[i - 1].at <= this->now) {
          seen.isVisible = seen.pending[i - 1].isVisible;
          seen.pending.erase(seen.pending.begin(),
                             seen.pending.begin() +
                               static_cast<std::ptrdiff_t>(i));
          break;
        }
      }
      if (seen.isVisible) {
        members.peers.push_back(this->instances[index].member);
      }
    }
    return members;
  }

  void step(Instance& instance)
  {
    if (this->hasEnded(instance) || this->now < instance.pausedUntil) {
      return;
    }
    // Packets may come before the first tick after a pause.
    this->placeAll(instance);
    if (this->now >= instance.nextTick) {
      instance.nextTick = this->now + kTick;
      instance.limiter.update(
        this->membersAt(instance), this->targets, this->now);
    }
  }

  void placeAll(Instance& instance)
  {
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      while (instance.limiter.mayPlace(this->targets[i].key, this->now)) {
        instance.limiter.recordRequest(this->targets[i].key, this->now);
        this->arrivals[i].push_back(this->now + this->upTo(kMaxTravelMs));
      }
    }
  }
};

}

#endif
