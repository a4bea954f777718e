#ifndef BUCKTHORNWING_ADMISSION_CONTROLLER_H
#define BUCKTHORNWING_ADMISSION_CONTROLLER_H

#include "../Admission/AdmissionPolicy.h"
#include "../Admission/PriorityDemand.h"
#include "TagBlackboard.h"

#include <optional>
#include <vector>

namespace buckthornwing {

/// \brief Refuses new flows while their service has too little room, the less
/// urgent ones first. Acts on services whose routes have several priorities.
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
    bool hasPriorities = false; ///< its routes have several
    ServiceQueue queue;
    PriorityDemand demand;
    std::uint64_t refused = 0; ///< since the overload began
    MilliTime refusedAt{};     ///< last refusal
    bool isOverloaded = false;
  };

  TagBlackboard& board;
  std::vector<ServiceState> services; ///< indexed by ServiceSlot
  std::uint64_t routesVersion = 0;    ///< that \a services belong to

  /// \returns whether new flows of a service may be refused.
  bool isActive(ServiceSlot service) const;
  void onNewRoutes();
  ServiceQueue queueOf(ServiceSlot service, MilliTime now) const;
  void reportEnd(ServiceSlot service, MilliTime now);
};

}

#endif
