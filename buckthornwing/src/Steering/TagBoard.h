#ifndef BUCKTHORNWING_TAG_BOARD_H
#define BUCKTHORNWING_TAG_BOARD_H

#include "../Core/Random.h"
#include "../Observation/FlowObserver.h"
#include "../Observation/TargetHealth.h"
#include "../Tagging/TagIndex.h"
#include "../View/EventStamp.h"
#include "../View/RouteBook.h"
#include "../View/ServicePools.h"
#include "../View/TargetRegistry.h"
#include "TagEvent.h"
#include "TagSettings.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace buckthornwing {

/// \brief Counters that /metrics shows.
struct TagCounters
{
  std::array<std::uint64_t, kSteeringReasonCount> decisions{};
  std::array<std::uint64_t, kSteeringOutcomeCount> outcomes{};
  std::uint64_t repeats = 0;
  std::uint64_t probes = 0;
  std::uint64_t unreadableEntries = 0; ///< of the registry
  std::uint64_t malformedUpdates = 0;  ///< from peers
  LatencyHistogram targetsAges;        ///< of the view that placed a flow
};

/// \returns the age of a view, or nothing if it was never confirmed.
inline std::optional<MilliDuration>
viewAge(MilliTime confirmedAt, MilliTime now)
{
  return confirmedAt.ms == 0 ? std::nullopt : std::optional(now - confirmedAt);
}

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
    this->registry.setKeepsLapsed(settings.policy.keepsLapsed);
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
  EventStamp targetsConfirmation; ///< the answer of the platform that did
  /// Up to here the targets are complete for certain, messages' delay counted.
  MilliTime targetsCertainAt{};
  MilliTime routesConfirmedAt{};
  EventStamp routesConfirmation;
  EventStamp storeFailure; ///< the last one that made the registry unwell
  /// The store's revision that news of the routes continue from.
  std::uint64_t routesRevision = 0;
  /// Time between the last two ticks: shows whether this process stood still.
  MilliDuration lastTickGap{};
  std::vector<TargetHealth> health; ///< by TargetSlot
  std::size_t zonePeers = 0;        ///< live ones in the own zone
  bool stopping = false;
  std::vector<TagEvent> events;

  /// \returns a name for what this instance sees now.
  EventStamp stampEvent(MilliTime now) const
  {
    return { runKey(this->settings.id, this->settings.incarnation), now.ms };
  }

  TargetHealth& healthFor(TargetSlot target)
  {
    if (target >= this->health.size()) {
      this->health.resize(target + 1);
    }
    return this->health[target];
  }

  HealthState healthState(TargetSlot target) const
  {
    return target < this->health.size() ? this->health[target].state
                                        : HealthState::trusted;
  }

  /// \returns whether new flows should go to other targets.
  bool isAvoided(TargetSlot target, MilliTime now) const
  {
    return target < this->health.size() &&
           (this->health[target].state != HealthState::trusted ||
            now < this->health[target].avoidUntil);
  }

  /// \returns when a target last gave a sign of life, here or at a peer.
  MilliTime lastProgress(TargetSlot target) const
  {
    const TargetLoad& load = this->observer.load(target);
    return std::max(load.progressAt, load.peerProgressAt);
  }

  /// \returns whether there is anything to decide by.
  bool hasView() const
  {
    return this->registry.loaded() && this->routes.loaded();
  }
};

/// \brief What decisions on packets of unknown flows depend on.
struct ViewStamp
{
  std::uint64_t targetsRevision = 0;
  std::uint64_t routesVersion = 0;
  MilliTime targetsCertainAt{};

  bool operator==(const ViewStamp&) const = default;
};

/// \returns a value that differs whenever held packets are to be decided again.
inline ViewStamp
stampOf(const TagBoard& board)
{
  return { board.registry.revision(),
           board.routes.version(),
           board.targetsCertainAt };
}

}

#endif
