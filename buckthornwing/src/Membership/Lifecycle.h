#ifndef BUCKTHORNWING_LIFECYCLE_H
#define BUCKTHORNWING_LIFECYCLE_H

#include "../Peer/PeerMessage.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace buckthornwing {

/// \brief What moves an instance through its life.
enum class LifecycleEvent : std::uint8_t
{
  confirmed,     ///< it has a view that peers, or solitude, confirm
  paused,        ///< its clock jumped: it did not run for a while
  resumed,       ///< peers confirmed its view after a pause
  declaredDead,  ///< peers gave it up while it was paused
  stopRequested, ///< planned stop
  drained,       ///< everything was handed over
};

/// \brief States of an instance's life.
enum class LifecycleState : std::uint8_t
{
  joining,
  live,
  suspended, ///< live, but its view is not confirmed since a pause
  leaving,
  stopped,
};

/// \returns a stable lower-case name for logs.
std::string_view
lifecycleStateName(LifecycleState state);

/// \brief State machine of this instance's life (Boost.MSM).
class Lifecycle
{
public:
  Lifecycle();
  ~Lifecycle();
  Lifecycle(Lifecycle&&) noexcept;
  Lifecycle& operator=(Lifecycle&&) noexcept;

  /// \returns whether the event led to another state; events that do not
  /// apply in the present state are ignored.
  bool process(LifecycleEvent event);

  LifecycleState state() const;

  /// \returns the phase that is told to peers.
  Phase phase() const;

private:
  struct Machine;
  std::unique_ptr<Machine> machine;
};

}

#endif
