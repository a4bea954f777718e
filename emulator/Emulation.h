#ifndef BUCKTHORNWING_EMULATOR_EMULATION_H
#define BUCKTHORNWING_EMULATOR_EMULATION_H

#include "Callers.h"
#include "Checks.h"

#include <optional>
#include <string>

namespace buckthornwing::emulator {

/// \brief Parts of an emulation, and paths of its files.
struct EmulationSettings
{
  std::uint64_t seed = 1;
  Deployment deployment = makeDeployment(4, 8, 60);
  std::string program;   ///< path of the daemon's executable
  std::string directory; ///< for the settings and logs of the daemons
};

/// \brief Emulation of the platform on the loopback interface. The store, the
/// targets, the fabric and the callers run in this process; each daemon runs in
/// a process of its own.
class Emulation
{
public:
  explicit Emulation(const EmulationSettings& settings);

  /// \brief Starts all parts except the callers, which start after \a warmUp.
  /// \returns an error if a part can't be started
  boost::leaf::result<void> start(MilliDuration warmUp);

  /// \brief Runs the event loop until stop() is called.
  void run() { this->context.run(); }
  void stop() { this->context.stop(); }

  EmulationParts& parts() { return *this->sharedParts; }
  /// \returns the callers, which exist after start().
  Callers& load() { return *this->callers; }
  Guarantees& guarantees() { return this->guaranteeRecord; }

private:
  EmulationSettings settings;
  boost::asio::io_context context;
  Timers timers{ context };
  Addresses addresses;
  Guarantees guaranteeRecord;
  Stability storeStability;
  standin::StoreStandin store;
  Instances instances;
  Targets targets;
  ZoneEvacuations evacuations;
  std::optional<Routes> routes;
  std::optional<Fabric> fabric;
  std::optional<EmulationParts> sharedParts;
  std::optional<Checks> checks;
  std::optional<Callers> callers;

  TargetHooks targetHooks();
  void startCallers();
};

}

#endif
