#ifndef BUCKTHORNWING_LIFECYCLE_H
#define BUCKTHORNWING_LIFECYCLE_H

#include "../Peer/PeerMessage.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace buckthornwing {

/// \brief Events of an instance's life cycle.
enum class LifecycleEvent : std::uint8_t
{
  confirmed,     ///< view confirmed by peers, or no peer reachable
  paused,        ///< process did not run for a while
  resumed,       ///< peers confirmed its view after a pause
  declaredDead,  ///< peers declared it dead while it was paused
  stopRequested, ///< planned shutdown began
  handoverEnded, ///< handover of its flows has ended or timed out
};

/// \brief States of an instance's life cycle.
enum class LifecycleState : std::uint8_t
{
  joining,
  live,
  suspended, ///< live, but its view is unconfirmed since a pause
  leaving,
  stopped,
};

/// \returns the state's name in logs, in lower case.
std::string_view
lifecycleStateName(LifecycleState state);

/// \brief State machine of this instance's life cycle.
class Lifecycle
{
public:
  Lifecycle();
  ~Lifecycle();
  Lifecycle(Lifecycle&&) noexcept;
  Lifecycle& operator=(Lifecycle&&) noexcept;

  /// \brief Processes an event; one that does not apply in the present state is
  /// ignored.
  /// \returns whether the state changed
  bool process(LifecycleEvent event);

  LifecycleState state() const;

  /// \returns the phase that is announced to peers.
  Phase phase() const;

private:
  struct Machine;
  std::unique_ptr<Machine> machine;
};

}

#endif
