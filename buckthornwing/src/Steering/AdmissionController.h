#ifndef BUCKTHORNWING_ADMISSION_CONTROLLER_H
#define BUCKTHORNWING_ADMISSION_CONTROLLER_H

#include "../Admission/AdmissionPolicy.h"
#include "../Admission/PriorityDemand.h"
#include "../Admission/ServiceQueue.h"
#include "TagBlackboard.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Decides which new flows are refused while their service has too
/// little room, the less urgent ones first. Acts on services whose routes have
/// several priorities.
class AdmissionController
{
public:
  explicit AdmissionController(TagBlackboard& board)
    : board(board)
  {
  }

  /// \brief Updates the queues of all services; called once per
  /// kTagTickPeriod.
  void tick(MilliTime now);

  /// \returns the probability with which a new flow is refused that placement
  /// would assign to a target.
  double refusalProbability(const Route& route,
                            ServiceSlot service,
                            TargetSlot target) const;

  /// \returns whether a new flow is refused. All instances that see the same
  /// queue refuse the same flows.
  bool refuses(const Route& route,
               ServiceSlot service,
               TargetSlot target,
               FlowId flow) const;

  /// \returns the rounds of queued requests that a new flow of a service meets,
  /// as of the last tick; nothing if the service's routes have one priority.
  std::optional<double> queuedRounds(ServiceSlot service) const;

  /// \brief Records a new flow and whether it was refused.
  void record(const Route& route,
              ServiceSlot service,
              bool isRefused,
              MilliTime now);

private:
  /// \brief What is known of a service.
  struct ServiceState
  {
    std::string name;
    /// Least latency objective of its routes, if any, by their priority.
    std::map<std::uint32_t, std::optional<MilliDuration>> objectives;
    ServiceQueue queue;
    PriorityDemand demand;
    std::uint64_t refused = 0; ///< since the overload began
    MilliTime refusedAt{};     ///< last refusal
    bool isOverloaded = false;

    bool hasPriorities() const { return this->objectives.size() > 1; }
    void addRoute(const Route& route);
    /// \returns the least objective of the routes that are more urgent.
    std::optional<MilliDuration> objectiveAbove(std::uint32_t priority) const;
  };

  TagBlackboard& board;
  std::vector<ServiceState> services;         ///< indexed by ServiceSlot
  std::optional<std::uint64_t> routesVersion; ///< that \a services belong to
  MilliTime startedAt{};                      ///< first tick with a view

  void onNewRoutes();
  /// \returns the state of a service whose routes have several priorities;
  /// otherwise, and until the next tick after a change of the routes, null.
  const ServiceState* find(ServiceSlot service) const;
  void updateQueue(ServiceSlot service, MilliTime now);
  /// \returns the queue of a service by the loads of its usable targets.
  ServiceQueue queueOf(ServiceSlot service, MilliTime now) const;
  /// \brief Logs the end of an overload, if there is one.
  void reportEnd(ServiceState& state);
};

}

#endif
