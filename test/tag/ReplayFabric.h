#ifndef BUCKTHORNWING_TEST_REPLAY_FABRIC_H
#define BUCKTHORNWING_TEST_REPLAY_FABRIC_H

#include <Core>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace buckthornwing::test {

/// \brief Simulated fabric, which chooses the instance of a flow by rendezvous
/// hashing over the ready instances in the caller's zone.
///
/// An instance isn't ready after two failed readiness checks in a row. If fewer
/// than half of a zone's instances are ready, all instances of the zone are
/// used. If none is ready, the next zone with a ready instance is used.
class ReplayFabric
{
public:
  static constexpr MilliDuration kCheckPeriod{ 500 };

  /// \brief Adds an instance in a zone.
  void add(std::size_t zone) { this->instances.push_back({ zone, 0 }); }

  /// \brief Handles the result of a readiness check of an instance.
  void onCheck(std::size_t instance, bool isReady)
  {
    int& misses = this->instances[instance].misses;
    misses = isReady ? 0 : misses + 1;
  }

  /// \returns the index of the instance that gets the packets of a flow
  std::size_t choose(FlowId flow, std::size_t zone) const
  {
    std::size_t zones = 0;
    for (const Instance& instance : this->instances) {
      zones = std::max(zones, instance.zone + 1);
    }
    for (std::size_t i = 0; i < zones; ++i) {
      const std::size_t tried = (zone + i) % zones;
      if (this->countReady(tried) > 0) {
        return this->hashOver(flow, tried);
      }
    }
    return this->hashOver(flow, zone);
  }

private:
  static constexpr int kMaxMisses = 2;

  struct Instance
  {
    std::size_t zone = 0;
    int misses = 0;
    bool isReady() const { return this->misses < kMaxMisses; }
  };

  std::vector<Instance> instances;

  std::size_t countReady(std::size_t zone) const
  {
    return static_cast<std::size_t>(
      std::count_if(this->instances.begin(),
                    this->instances.end(),
                    [zone](const Instance& instance) {
                      return instance.zone == zone && instance.isReady();
                    }));
  }

  std::size_t hashOver(FlowId flow, std::size_t zone) const
  {
    const auto size = static_cast<std::size_t>(std::count_if(
      this->instances.begin(),
      this->instances.end(),
      [zone](const Instance& instance) { return instance.zone == zone; }));
    const bool usesAll = 2 * this->countReady(zone) < size;
    std::size_t best = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
      const Instance& instance = this->instances[i];
      const bool isCandidate =
        instance.zone == zone && (usesAll || instance.isReady());
      const std::uint64_t score = mixWords(flow.bits, i + 1) | 1;
      if (isCandidate && score > bestScore) {
        best = i;
        bestScore = score;
      }
    }
    return best;
  }
};

}

#endif
