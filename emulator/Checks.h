#ifndef BUCKTHORNWING_EMULATOR_CHECKS_H
#define BUCKTHORNWING_EMULATOR_CHECKS_H

#include "Callers.h"

namespace buckthornwing::emulator {

/// \brief Checks the daemon's guarantees by what callers and targets observe.
///
/// Guarantees with time bounds are checked only while the instance and the
/// store have had no fault for the settling time of the deployment and the
/// instance has run for that time. Always checked, among others: all packets of
/// a flow go to the same target, and no new flow goes to a service to which its
/// route never led.
class Checks
{
public:
  explicit Checks(EmulationParts& parts);

  /// \brief Checks an opening packet that reached a target.
  /// \param flow the flow at its caller; null if no caller knows it
  /// \param from address of the instance that forwarded the packet
  void onOpening(const CallerPacket& packet,
                 const CallerFlow* flow,
                 const Target& target,
                 const Endpoint& from);

  /// \brief Checks a packet that is not an opening packet.
  /// \param flow the flow at its caller; null if no caller knows it
  /// \param targetNumber number of the target to which an instance sent it
  void onPacket(const CallerPacket& packet,
                const CallerFlow* flow,
                std::uint64_t targetNumber);

  /// \brief Checks a reset that a caller received.
  /// \param sender address of the instance that sent it
  void onReset(const CallerFlow& flow, const Endpoint& sender);

private:
  EmulationParts& parts;
  ObservedVersions observedVersions{ Bounds::kRegressionWindow };

  /// \brief Decides whether time bounds apply to an instance now, and counts
  /// the decision.
  bool mustMeetBounds(std::size_t index);
  /// \brief Checks that the flow's route led to the service of the target.
  void checkService(const CallerFlow& flow,
                    MilliTime sentAt,
                    const Target& target,
                    std::size_t instance);
  /// \brief Checks that no new flow goes to a target of a zone that was
  /// evacuated long enough ago.
  void checkNotEvacuated(const CallerFlow& flow,
                         const Target& target,
                         std::size_t instance);
  /// \brief Checks that a process doesn't use an older version of a route than
  /// one that it was seen to use over Bounds::kRegressionWindow earlier.
  void checkNoVersionRegression(const CallerFlow& flow,
                                MilliTime sentAt,
                                const Target& target,
                                std::size_t instance);
  /// \brief Checks that a new flow is refused only if it has no route or if no
  /// target can serve it.
  void checkRefusal(const CallerFlow& flow, std::size_t instance);
  /// \brief Checks that an open flow isn't reset while its target is alive.
  /// Permitted are resets while the target isn't stable, resets if a version
  /// since the flow was opened lacked the route, and resets of flows with
  /// idempotent requests by an instance younger than the settling time.
  void checkOpenFlowReset(const CallerFlow& flow, std::size_t instance);
  /// \returns the time from which routes may apply to a packet.
  MilliTime routesSince(MilliTime sentAt) const;
  std::string describe(const CallerFlow& flow,
                       std::uint64_t target,
                       std::size_t instance) const;
};

}

#endif
