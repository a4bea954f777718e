#include "Lifecycle.h"

#include <array>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace buckthornwing {
namespace internal {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct Confirmed
{};
struct Paused
{};
struct Resumed
{};
struct DeclaredDead
{};
struct StopRequested
{};
struct Drained
{};

struct Joining : msm::front::state<>
{};
struct Live : msm::front::state<>
{};
struct Suspended : msm::front::state<>
{};
struct Leaving : msm::front::state<>
{};
struct Stopped : msm::front::state<>
{};

struct LifecycleDefinition : msm::front::state_machine_def<LifecycleDefinition>
{
  using initial_state = Joining;

  // Boost.MSM numbers the states in the order of this table. It must be that of
  // LifecycleState, since state() converts the number.
  struct transition_table
    : boost::mpl::vector<Row<Joining, Confirmed, Live, none, none>,
                         Row<Joining, StopRequested, Leaving, none, none>,
                         Row<Live, Paused, Suspended, none, none>,
                         Row<Live, StopRequested, Leaving, none, none>,
                         Row<Suspended, Resumed, Live, none, none>,
                         Row<Suspended, DeclaredDead, Joining, none, none>,
                         Row<Suspended, StopRequested, Leaving, none, none>,
                         Row<Leaving, Drained, Stopped, none, none>>
  {};

  template<typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*id*/)
  {
    // Events that do not apply are ignored, such as a pause while joining.
  }
};

using LifecycleMachine = msm::back::state_machine<LifecycleDefinition>;

}

struct Lifecycle::Machine
{
  internal::LifecycleMachine machine;
};

Lifecycle::Lifecycle()
  : machine(std::make_unique<Machine>())
{
  this->machine->machine.start();
}

Lifecycle::~Lifecycle() = default;
Lifecycle::Lifecycle(Lifecycle&&) noexcept = default;
Lifecycle&
Lifecycle::operator=(Lifecycle&&) noexcept = default;

bool
Lifecycle::process(LifecycleEvent event)
{
  auto& machine = this->machine->machine;
  const LifecycleState before = this->state();
  switch (event) {
    case LifecycleEvent::confirmed:
      machine.process_event(internal::Confirmed{});
      break;
    case LifecycleEvent::paused:
      machine.process_event(internal::Paused{});
      break;
    case LifecycleEvent::resumed:
      machine.process_event(internal::Resumed{});
      break;
    case LifecycleEvent::declaredDead:
      machine.process_event(internal::DeclaredDead{});
      break;
    case LifecycleEvent::stopRequested:
      machine.process_event(internal::StopRequested{});
      break;
    case LifecycleEvent::handoverEnded:
      machine.process_event(internal::Drained{});
      break;
  }
  return this->state() != before;
}

LifecycleState
Lifecycle::state() const
{
  return static_cast<LifecycleState>(this->machine->machine.current_state()[0]);
}

Phase
Lifecycle::phase() const
{
  switch (this->state()) {
    case LifecycleState::joining:
      return Phase::joining;
    case LifecycleState::live:
    case LifecycleState::suspended:
      return Phase::live;
    case LifecycleState::leaving:
      return Phase::leaving;
    case LifecycleState::stopped:
      return Phase::stopped;
  }
  return Phase::stopped;
}

std::string_view
lifecycleStateName(LifecycleState state)
{
  constexpr std::array<std::string_view, 5> kNames{
    "joining", "live", "suspended", "leaving", "stopped"
  };
  return kNames[static_cast<std::size_t>(state)];
}

}
