#ifndef BUCKTHORNWING_EMULATOR_EMULATION_PARTS_H
#define BUCKTHORNWING_EMULATOR_EMULATION_PARTS_H

#include "Deployment.h"
#include "Fabric.h"
#include "Routes.h"
#include "Targets.h"
#include "ZoneEvacuations.h"

namespace buckthornwing::emulator {

/// \brief References to the parts of an emulation that callers, checks and
/// fault injection use.
struct EmulationParts
{
  const Deployment& deployment;
  boost::asio::io_context& context;
  Timers timers;
  Addresses addresses;
  Guarantees& guarantees;
  standin::StoreStandin& store;
  Stability& storeStability; ///< faults of the store
  Instances& instances;
  Targets& targets;
  ZoneEvacuations& evacuations;
  Routes& routes;
  Fabric& fabric;
};

}

#endif
