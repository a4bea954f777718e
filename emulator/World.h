#ifndef BUCKTHORNWING_EMULATOR_WORLD_H
#define BUCKTHORNWING_EMULATOR_WORLD_H

#include "Fabric.h"
#include "Routes.h"
#include "Targets.h"

namespace buckthornwing::emulator {

/// \brief The parts of a run that callers, checks and faults meet.
struct World
{
  boost::asio::io_context& context;
  Timers timers;
  Addresses addresses;
  Promises& promises;
  standin::StoreStandin& store;
  Stability& storeStability;
  Entries& entries;
  Targets& targets;
  Routes& routes;
  Fabric& fabric;
};

}

#endif
