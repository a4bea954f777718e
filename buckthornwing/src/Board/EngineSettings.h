#ifndef BUCKTHORNWING_ENGINE_SETTINGS_H
#define BUCKTHORNWING_ENGINE_SETTINGS_H

#include "../Core/IpAddress.h"
#include "../Core/MilliTime.h"

#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Policies of placement and handover; see docs/DESIGN.md for the
/// alternatives.
struct PolicySettings
{
  /// Share of a service's buckets that are flexible: their owner always places
  /// by load. One share for services with Balance::sticky, one for
  /// Balance::spread.
  double flexibleShareSticky = 0.08;
  double flexibleShareSpread = 0.125;
  /// Number of targets sampled for a placement by load.
  unsigned placementChoices = 4;
  /// Whether an owner sends hints of flows with many packets to the instances
  /// that relay them.
  bool hints = true;
  /// Whether owners send backups of flows that may be away from their table
  /// target.
  bool backups = true;
  /// Whether a stopping instance hands flows over before it stops serving.
  bool handoverInRounds = true;
};

/// \brief Settings of one engine.
struct EngineSettings
{
  std::string id;
  std::string zone;
  Endpoint peerAddress;
  /// Peer addresses to contact before a list of instances is known.
  std::vector<Endpoint> seeds;
  /// Budget for the transfer of flow records, in bytes per second.
  double transferBytesPerSecond = 2500;
  /// Bytes that may exceed that rate at once.
  double transferBurstBytes = 24000;
  PolicySettings policy;
};

}

#endif
