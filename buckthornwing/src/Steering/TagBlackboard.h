#ifndef BUCKTHORNWING_TAG_BLACKBOARD_H
#define BUCKTHORNWING_TAG_BLACKBOARD_H

#include "../Core/Random.h"
#include "../Observation/FlowObserver.h"
#include "../Observation/TargetHealth.h"
#include "../SlowStart/SlowStartLimiter.h"
#include "../Tagging/TagIndex.h"
#include "../View/Evacuations.h"
#include "../View/EventStamp.h"
#include "../View/RouteIndex.h"
#include "../View/ServicePools.h"
#include "../View/TargetRegistry.h"
#include "TagEvent.h"
#include "TagSettings.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace buckthornwing {

/// \brief Counters that /metrics exposes.
struct TagCounters
{
  std::array<std::uint64_t, kSteeringReasonCount> decisions{};
  std::array<std::uint64_t, kSteeringOutcomeCount> outcomes{};
  /// Flows refused while their service was overloaded, by priority.
  std::map<std::uint32_t, std::uint64_t> refusedByPriority;
  std::uint64_t retransmissions = 0; ///< retransmissions by callers
  std::uint64_t probes = 0;          ///< probes requested
  /// Registry entries that could not be parsed.
  std::uint64_t unreadableEntries = 0;
  /// Entries of the operator that are not understood.
  std::uint64_t ignoredEntries = 0;
  /// View updates from peers that could not be decoded.
  std::uint64_t malformedUpdates = 0;
  /// Times that the store came back from an older copy of its data.
  std::uint64_t storeEraChanges = 0;
  /// Answers of the store with an earlier era than one before.
  std::uint64_t outdatedAnswers = 0;
  LatencyHistogram targetsAges; ///< age of the targets' view at placements
};

/// \returns the time since a view was confirmed, or std::nullopt if it never
/// was.
inline std::optional<MilliDuration>
viewAge(MilliTime confirmedAt, MilliTime now)
{
  return confirmedAt.ms == 0 ? std::nullopt : std::optional(now - confirmedAt);
}

/// \brief State of one instance behind a tagging fabric, shared by all
/// controllers, which read and write it.
struct TagBlackboard
{
  explicit TagBlackboard(TagSettings newSettings)
    : settings(std::move(newSettings))
    , scheme(settings.tagSecret)
    , tags(scheme)
    , random{ settings.seed }
  {
    this->registry.setRules(
      { settings.policy.keepsLapsed, settings.registrationLifetime });
  }

  TagSettings settings;
  TagScheme scheme;
  TargetRegistry registry;
  RouteIndex routes;
  Evacuations evacuations;
  ServicePools pools;
  TagIndex tags;
  FlowObserver observer;
  Random random;
  TagCounters counters;
  /// Time at which the targets were last confirmed by the platform or by a peer
  /// that had them from there.
  MilliTime targetsConfirmedAt{};
  /// The platform's answer that confirmed them.
  EventStamp targetsConfirmation;
  /// Latest time up to which the targets are known to be complete. Accounts for
  /// the delay of messages.
  MilliTime targetsCompleteAt{};
  MilliTime routesConfirmedAt{}; ///< like targetsConfirmedAt
  EventStamp routesConfirmation;
  MilliTime routesCompleteAt{}; ///< like targetsCompleteAt
  /// Like routesConfirmedAt. Differs from it only if peers of a version that
  /// doesn't know evacuations confirm the routes.
  MilliTime evacuationsConfirmedAt{};
  EventStamp storeFailure; ///< last known failure to read the store
  /// Highest era that the store or a peer has named; nothing if none has.
  std::optional<StoreEra> storeEra;
  /// Position up to which the routes have been applied; nothing without routes.
  /// See operatorPosition() for where to read on.
  std::optional<StorePosition> routesPosition;
  /// Time between the last two ticks; long if the process did not run.
  MilliDuration lastTickGap{};
  std::vector<TargetHealth> health; ///< indexed by TargetSlot
  std::size_t zonePeers = 0;        ///< live peers in this instance's zone
  /// Kept up to date while a service limits its cold targets.
  ActiveMembers activeMembers;
  SlowStartLimiter slowStart;
  /// Position of this instance among the active ones of its zone, from 0.
  std::size_t zoneRank = 0;
  bool stopping = false;        ///< requestStop() was called
  std::vector<TagEvent> events; ///< not yet taken by TagEngine::takeEvents()

  /// \returns an identifier for an event that this instance observes now.
  EventStamp stampEvent(MilliTime now) const
  {
    return { instanceRunId(this->settings.id, this->settings.incarnation),
             now.ms };
  }

  /// \returns the health record of a target, which is created if needed.
  TargetHealth& healthFor(TargetSlot target)
  {
    if (target >= this->health.size()) {
      this->health.resize(target + 1);
    }
    return this->health[target];
  }

  /// \returns the health of a target; trusted if it has no record.
  HealthState healthState(TargetSlot target) const
  {
    return target < this->health.size() ? this->health[target].state
                                        : HealthState::trusted;
  }

  /// \returns whether new flows should avoid a target, because it is not
  /// trusted or because a peer found it dead.
  bool isAvoided(TargetSlot target, MilliTime now) const
  {
    return target < this->health.size() &&
           (this->health[target].state != HealthState::trusted ||
            now < this->health[target].reportedDeadUntil);
  }

  /// \returns whether the target of a flow is known to have died since this
  /// instance first saw the flow.
  bool hasLostTarget(const TrackedFlow& flow) const
  {
    return this->healthState(flow.target) == HealthState::dead &&
           flow.openedAt <= this->health[flow.target].foundDeadAt;
  }

  /// \returns the time at which a flow of the target last made progress or a
  /// probe was answered, at this instance or at a peer.
  MilliTime lastProgress(TargetSlot target) const
  {
    const TargetLoad& load = this->observer.load(target);
    return std::max(load.progressAt, load.peerProgressAt);
  }

  /// \returns whether this instance or a peer ever saw the target answer. If
  /// not, another writer may have made its entry, and what was probed at its
  /// address is not the target of its flows.
  bool hasAnswered(TargetSlot target) const
  {
    return this->observer.load(target).hasAnswered;
  }

  /// \returns the highest known era of the store.
  StoreEra knownEra() const { return this->storeEra.value_or(0); }

  /// \brief Raises the position of the routes. The caller has applied all
  /// changes of the routes up to it.
  void advanceRoutes(const StorePosition& position)
  {
    this->routesPosition =
      std::max(this->routesPosition.value_or(StorePosition{}), position);
  }

  /// \returns the position up to which both the routes and the evacuations have
  /// been applied: what the operator wrote is read on from there. Nothing if
  /// either is missing.
  std::optional<StorePosition> operatorPosition() const
  {
    const auto evacuationsPosition = this->evacuations.position();
    if (!this->routesPosition || !evacuationsPosition) {
      return std::nullopt;
    }
    return std::min(*this->routesPosition, *evacuationsPosition);
  }

  /// \returns whether a target's zone is evacuated.
  bool isEvacuated(TargetSlot target) const
  {
    return this->pools.isEvacuated(this->registry.at(target).record.zone);
  }

  /// \returns whether targets, routes and evacuations are loaded, so that new
  /// flows can be placed.
  bool hasView() const
  {
    return this->canForward() && this->evacuations.loaded();
  }

  /// \returns whether targets and routes are loaded, so that packets of open
  /// flows can be forwarded.
  bool canForward() const
  {
    return this->registry.loaded() && this->routes.loaded();
  }
};

/// \brief Version of the view on which decisions about held packets depend.
struct ViewVersion
{
  StorePosition targets;
  std::uint64_t routesVersion = 0;
  MilliTime targetsCompleteAt{};
  MilliTime routesCompleteAt{};
  bool isComplete = false; ///< see TagBlackboard::hasView()

  bool operator==(const ViewVersion&) const = default;
};

/// \returns the version of the present view. If it changes, held packets must
/// be decided again.
inline ViewVersion
viewVersionOf(const TagBlackboard& board)
{
  return { board.registry.position(),
           board.routes.version(),
           board.targetsCompleteAt,
           board.routesCompleteAt,
           board.hasView() };
}

}

#endif
