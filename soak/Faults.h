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

  /// \brief Lets the store come back from a copy of its present data.
  /// \param after time until it goes away
  /// \param awayFor time until it is back
  void drill(MilliDuration after, MilliDuration awayFor);
  /// \brief Kills all instances, which start again after \a downFor.
  void killAll(MilliDuration downFor);
  /// \brief Stops and starts all instances one after the other.
  void roll(MilliDuration gap);
  /// \brief Lets the store refuse or ignore all requests of the instances.
  void breakStore(standin::StoreFault fault, MilliDuration duration);
  /// \brief Removes the registrations of all targets from the store, which
  /// fails for \a duration, unless another fault of the store is active.
  void expireRegistrations(MilliDuration duration);
  void dropHistory();
  /// \brief Changes the services of routes \a count times.
  void changeRoutes(std::size_t count, MilliDuration gap);
  /// \brief Evacuates a zone for a time.
  void evacuate(const std::string& zone, MilliDuration duration);

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
  void addPlannedWork();
  void endStoreFault();
  void beginDrill(const standin::StoreData::Copy& copy, MilliDuration awayFor);
  void changeRoute();
  /// \brief Drops a route and publishes it again.
  void dropAndRestore(MilliDuration after);
  /// \brief Another writer adds entries that make one answer very large.
  void writeLargeEntries(MilliDuration removeAfter);
};

}

#endif
