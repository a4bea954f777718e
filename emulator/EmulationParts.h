#ifndef BUCKTHORNWING_EMULATOR_EMULATION_PARTS_H
#define BUCKTHORNWING_EMULATOR_EMULATION_PARTS_H

#include "Fabric.h"
#include "Routes.h"
#include "Targets.h"

namespace buckthornwing::emulator {

/// \brief The parts of a run that callers, checks and faults meet.
struct EmulationParts
{
  boost::asio::io_context& context;
  Timers timers;
  Addresses addresses;
  Guarantees& guarantees;
  standin::StoreStandin& store;
  Stability& storeStability;
  Instances& instances;
  Targets& targets;
  Routes& routes;
  Fabric& fabric;
};

}

#endif
