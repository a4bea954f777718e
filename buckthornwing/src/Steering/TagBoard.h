#ifndef BUCKTHORNWING_TAG_BOARD_H
#define BUCKTHORNWING_TAG_BOARD_H

#include "../Core/Random.h"
#include "../Observation/FlowObserver.h"
#include "../Tagging/TagIndex.h"
#include "../View/RouteBook.h"
#include "../View/ServicePools.h"
#include "../View/TargetRegistry.h"
#include "TagEvent.h"
#include "TagSettings.h"

#include <array>
#include <cstdint>
#include <vector>

namespace buckthornwing {

/// \brief Counters that /metrics shows.
struct TagCounters
{
  std::array<std::uint64_t, kSteeringReasonCount> decisions{};
  std::array<std::uint64_t, 4> outcomes{};
  std::uint64_t openings = 0;
  std::uint64_t openingCopies = 0;
  std::uint64_t repeats = 0;
  std::uint64_t probes = 0;
};

/// \brief State of one instance before a tagging fabric; controllers read and
/// write it.
struct TagBoard
{
  explicit TagBoard(TagSettings newSettings)
    : settings(std::move(newSettings))
    , scheme(settings.tagSecret)
    , tags(scheme)
    , random{ settings.seed }
  {
  }

  TagSettings settings;
  TagScheme scheme;
  TargetRegistry registry;
  RouteBook routes;
  ServicePools pools;
  TagIndex tags;
  FlowObserver observer;
  Random random;
  TagCounters counters;
  /// When the platform, or a peer that had it from there, last confirmed them.
  MilliTime targetsConfirmedAt{};
  MilliTime routesConfirmedAt{};
  /// The store's revision that news of the routes continue from.
  std::uint64_t routesRevision = 0;
  bool stopping = false;
  std::vector<TagEvent> events;

  /// \returns whether there is anything to decide by.
  bool hasView() const
  {
    return this->registry.loaded() && this->routes.loaded();
  }
};

}

#endif
