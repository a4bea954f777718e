#ifndef BUCKTHORNWING_TEST_REPLAY_TARGET_H
#define BUCKTHORNWING_TEST_REPLAY_TARGET_H

#include <Core>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace buckthornwing::test {

/// \brief A request that a target has received.
struct Job
{
  std::size_t caller = 0;
  std::uint64_t attempt = 0; ///< of the caller
  MilliTime deliveredAt{};
};

/// \brief Simulated target.
struct ReplayTarget
{
  std::size_t running = 0; ///< requests that occupy a slot
  std::deque<Job> waiting;
  bool isCrashed = false; ///< answers nothing
  int served = 0;         ///< requests completed
  int started = 0;        ///< requests that got a slot
  MilliDuration waited{}; ///< sum of their waits for it
  double speedFactor = 1; ///< of its processing times
  std::size_t zone = 0;
};

/// \brief Samples the requests per slot in each zone while any target has a
/// queue.
class ZoneLoad
{
public:
  /// \brief Adds the next zone.
  /// \param slots sum of the request slots of its targets
  void addZone(std::size_t slots)
  {
    this->zones.push_back({ static_cast<double>(slots), 0 });
  }

  /// \brief Adds a sample if requests wait at any target.
  void sample(std::span<const ReplayTarget> targets)
  {
    const bool isQueueing = std::any_of(
      targets.begin(), targets.end(), [](const ReplayTarget& target) {
        return !target.waiting.empty();
      });
    if (!isQueueing) {
      return;
    }
    for (const ReplayTarget& target : targets) {
      Zone& zone = this->zones[target.zone];
      zone.busy += static_cast<double>(target.running + target.waiting.size()) /
                   zone.slots;
    }
  }

  /// \returns the sum of the samples of the most loaded zone divided by that of
  /// the least loaded one, or 0 if the latter is 0.
  double imbalance() const
  {
    const auto [least, most] =
      std::minmax_element(this->zones.begin(),
                          this->zones.end(),
                          [](const Zone& left, const Zone& right) {
                            return left.busy < right.busy;
                          });
    return least->busy > 0 ? most->busy / least->busy : 0;
  }

private:
  struct Zone
  {
    double slots = 0;
    double busy = 0; ///< requests per slot, summed over the samples
  };

  std::vector<Zone> zones;
};

}

#endif
