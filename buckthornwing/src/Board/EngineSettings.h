#ifndef BUCKTHORNWING_ENGINE_SETTINGS_H
#define BUCKTHORNWING_ENGINE_SETTINGS_H

#include "../Core/IpAddress.h"
#include "../Core/MilliTime.h"

#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Choices that were weighed against each other; see docs/DESIGN.md.
struct PolicySettings
{
  /// Share of a service's buckets whose owner places by load.
  double flexibleShareSticky = 0.08;
  double flexibleShareSpread = 0.125;
  /// Candidates that a placement by load compares.
  unsigned placementChoices = 4;
  /// Whether owners hint heavy flows to the instances that relay them.
  bool hints = true;
  /// Whether owners send backups of flows that the table does not give.
  bool backups = true;
  /// Whether a stopping instance hands flows over before it stops serving.
  bool handoverInRounds = true;
};

/// \brief What an engine is told about itself.
struct EngineSettings
{
  std::string id;
  std::string zone;
  Endpoint peerAddress;
  /// Instances to contact before any list was read.
  std::vector<Endpoint> seeds;
  /// Control bytes that transfers of flow records may take.
  double transferBytesPerSecond = 2500;
  double transferBurstBytes = 24000;
  PolicySettings policy;
};

}

#endif
