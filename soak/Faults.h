#ifndef BUCKTHORNWING_SOAK_FAULTS_H
#define BUCKTHORNWING_SOAK_FAULTS_H

#include <emulator/EmulationParts.h>

#include <functional>
#include <vector>

namespace buckthornwing::soak {

/// \brief Injects a random, seeded series of faults, which may overlap.
class Faults
{
public:
  Faults(emulator::EmulationParts& parts, std::uint64_t seed);

  /// \brief Injects faults for \a duration. The last ones may stay active for
  /// some seconds after that.
  void start(MilliDuration duration);

private:
  emulator::EmulationParts& parts;
  Random random;
  MilliTime endTime{};
  std::int64_t maxGapMs;
  int activeStoreFaults = 0; ///< those that have not ended yet
  std::vector<std::function<void()>> injectors; ///< one for each kind of fault

  void injectNext();
  std::size_t randomBelow(std::size_t limit)
  {
    return this->random.next() % limit;
  }
  MilliDuration randomDuration(std::int64_t minMs, std::int64_t maxMs);
  std::size_t randomInstance()
  {
    return this->randomBelow(this->parts.instances.size());
  }
  std::size_t randomTarget()
  {
    return this->randomBelow(this->parts.targets.size());
  }

  void addInstanceFaults();
  void addLinkFaults();
  void addStoreFaults();
  void addTargetFaults();
  void addOperatorChanges();
  void killAllInstances();
  void injectStoreFault();
  void endStoreFault();
  /// \brief Keeps a copy of the store's data, from which it comes back some
  /// seconds later.
  void keepCopy();
  /// \param drills number of times that the store comes back from the copy
  void restoreStore(const standin::StoreData::Copy& copy, int drills);
  /// \brief Removes the registrations of all targets from the store for 1 s to
  /// 4 s, unless another fault of the store is active.
  void expireRegistrations();
  void changeRoute();
};

}

#endif
