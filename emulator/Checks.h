#ifndef BUCKTHORNWING_EMULATOR_CHECKS_H
#define BUCKTHORNWING_EMULATOR_CHECKS_H

#include "Callers.h"

namespace buckthornwing::emulator {

/// \brief Judges what callers and targets see against the promises.
///
/// Bounds hold for instances that had no fault for a while and a store that
/// was well; one target a flow and no wrong service hold always.
class Checks
{
public:
  explicit Checks(EmulationParts& parts);

  /// \brief An opening reached a target.
  void onOpening(const CallerPacket& packet,
                 const CallerFlow* flow,
                 const Target& target,
                 const Endpoint& from);

  /// \brief A later packet was sent to the target of a number.
  void onPacket(const CallerPacket& packet,
                const CallerFlow* flow,
                std::uint64_t targetNumber);

  /// \brief A caller got a reset from an instance.
  void onReset(const CallerFlow& flow, const Endpoint& sender);

private:
  EmulationParts& parts;
  ObservedVersions observedVersions{ Bounds::kRegressionWindow };

  bool mustMeetBounds(std::size_t index);
  void checkService(const CallerFlow& flow,
                    MilliTime sentAt,
                    const Target& target,
                    std::size_t instance);
  void checkNoVersionRegression(const CallerFlow& flow,
                                MilliTime sentAt,
                                const Target& target,
                                std::size_t instance);
  void checkRefusal(const CallerFlow& flow, std::size_t instance);
  void checkOpenFlowReset(const CallerFlow& flow, std::size_t instance);
  std::string describe(const CallerFlow& flow,
                       std::uint64_t target,
                       std::size_t instance) const;
};

}

#endif
