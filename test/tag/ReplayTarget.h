#ifndef BUCKTHORNWING_TEST_REPLAY_TARGET_H
#define BUCKTHORNWING_TEST_REPLAY_TARGET_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace buckthornwing::test {

/// \brief A request in a target's hands.
struct Job
{
  std::size_t caller = 0;
  std::uint64_t generation = 0;
};

struct ReplayTarget
{
  std::size_t running = 0;
  std::deque<Job> waiting;
  bool isDark = false;
  int served = 0;
  std::size_t zone = 0;
};

/// \brief Requests a slot in each zone while requests wait somewhere.
class ZoneBusy
{
public:
  /// \param slots of all targets of the next zone
  void addZone(std::size_t slots)
  {
    this->zones.push_back({ static_cast<double>(slots), 0 });
  }

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

  /// \returns the busiest zone's sum against the idlest one's; 0 without one.
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
    double busy = 0; ///< summed over samples
  };

  std::vector<Zone> zones;
};

}

#endif
