#ifndef BUCKTHORNWING_EMULATOR_EMULATION_H
#define BUCKTHORNWING_EMULATOR_EMULATION_H

#include "Callers.h"
#include "Checks.h"

#include <optional>
#include <string>

namespace buckthornwing::emulator {

/// \brief Sizes of an emulation, and where its programs and files are.
struct EmulationSettings
{
  std::uint64_t seed = 1;
  std::size_t instances = 4;
  std::size_t targets = 8;
  std::size_t callers = 60;
  std::string program;   ///< the daemon
  std::string directory; ///< for settings and logs
};

/// \brief The platform on loopback: the store, targets, the fabric and callers
/// in this process, and the daemons as processes of their own.
class Emulation
{
public:
  explicit Emulation(const EmulationSettings& settings);

  /// \brief Starts everything but the callers, which wait for \a warmUp.
  boost::leaf::result<void> start(MilliDuration warmUp);

  /// \brief Runs until stop() is called.
  void run() { this->context.run(); }
  void stop() { this->context.stop(); }

  EmulationParts& parts() { return *this->sharedParts; }
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
