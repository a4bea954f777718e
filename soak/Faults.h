#ifndef BUCKTHORNWING_SOAK_FAULTS_H
#define BUCKTHORNWING_SOAK_FAULTS_H

#include <emulator/World.h>

#include <functional>
#include <vector>

namespace buckthornwing::soak {

/// \brief A seeded series of faults that follow and overlap each other.
class Faults
{
public:
  Faults(emulator::World& world, std::uint64_t seed);

  /// \brief Injects faults until \a span has passed. The last of them may go on
  /// for some seconds.
  void start(MilliDuration span);

private:
  emulator::World& world;
  Random random;
  MilliTime until{};
  std::int64_t mostGapMs;
  int storeFaults = 0;
  std::vector<std::function<void()>> kinds;

  void injectNext();
  std::size_t below(std::size_t limit) { return this->random.next() % limit; }
  MilliDuration span(std::int64_t leastMs, std::int64_t mostMs);
  std::size_t anyEntry() { return this->below(this->world.entries.size()); }
  std::size_t anyTarget() { return this->below(this->world.targets.size()); }

  void addEntryFaults();
  void addLinkFaults();
  void addStoreFaults();
  void addTargetFaults();
  void addOperatorChanges();
  void killAll();
  void harmStore();
  void endStoreFault();
  void lapse();
  void changeRoute();
};

}

#endif
