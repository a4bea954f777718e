#ifndef BUCKTHORNWING_TEST_QUEUE_METER_H
#define BUCKTHORNWING_TEST_QUEUE_METER_H

#include "ReplayTarget.h"

#include <algorithm>
#include <cstddef>
#include <span>

namespace buckthornwing::test {

/// \brief Measures how evenly openings use the slots of equal targets, by what
/// the targets really do at that moment.
class QueueMeter
{
public:
  int openings = 0;   ///< placed
  int needless = 0;   ///< met a full target, another one of its zone was free
  int otherZones = 0; ///< placed in another zone than the caller's
  int samples = 0;
  double spread = 0; ///< busiest target by mean of its zone, sum of samples

  /// \brief Counts an opening that was placed on a target.
  void onOpening(std::span<const ReplayTarget> targets,
                 std::size_t chosen,
                 std::size_t slots,
                 std::size_t callerZone)
  {
    ++this->openings;
    const std::size_t zone = targets[chosen].zone;
    this->otherZones += zone != callerZone ? 1 : 0;
    if (targets[chosen].running < slots) {
      return;
    }
    const bool hasFree = std::any_of(
      targets.begin(), targets.end(), [=](const ReplayTarget& target) {
        return target.zone == zone && target.running < slots;
      });
    this->needless += hasFree ? 1 : 0;
  }

  /// \brief Adds a sample of the spread in one zone.
  void sample(std::span<const ReplayTarget> targets, std::size_t zone)
  {
    std::size_t most = 0;
    std::size_t sum = 0;
    std::size_t count = 0;
    for (const ReplayTarget& target : targets) {
      if (target.zone == zone) {
        const std::size_t busy = target.running + target.waiting.size();
        most = std::max(most, busy);
        sum += busy;
        ++count;
      }
    }
    if (sum > 0) {
      ++this->samples;
      this->spread +=
        static_cast<double>(most * count) / static_cast<double>(sum);
    }
  }

  /// \returns the share of openings that met a queue needlessly.
  double needlessShare() const
  {
    return static_cast<double>(this->needless) / std::max(1, this->openings);
  }

  /// \returns the share of openings placed in another zone than the caller's.
  double otherZoneShare() const
  {
    return static_cast<double>(this->otherZones) / std::max(1, this->openings);
  }

  QueueMeter& operator+=(const QueueMeter& other)
  {
    this->openings += other.openings;
    this->needless += other.needless;
    this->otherZones += other.otherZones;
    this->samples += other.samples;
    this->spread += other.spread;
    return *this;
  }

  /// \returns the mean of the busiest target by the mean of its zone.
  double meanSpread() const
  {
    return this->spread / std::max(1, this->samples);
  }
};

}

#endif
