#ifndef BUCKTHORNWING_EMULATOR_TARGET_TRAFFIC_H
#define BUCKTHORNWING_EMULATOR_TARGET_TRAFFIC_H

#include "Deployment.h"
#include "Target.h"
#include "Timers.h"

#include <span>

namespace buckthornwing::emulator {

/// \brief What backend servers do with packets of flows: they accept openings,
/// process requests in their slots, and answer callers directly.
///
/// The targets that are passed to it must outlive it.
class TargetTraffic
{
public:
  TargetTraffic(boost::asio::io_context& context,
                Guarantees& guarantees,
                const Deployment& deployment,
                TargetHooks hooks)
    : timers{ context }
    , guarantees(guarantees)
    , deployment(deployment)
    , hooks(std::move(hooks))
  {
  }

  /// \brief Handles a datagram that reached the address of a target.
  /// \param from address of the instance that forwarded it
  void onDatagram(Target& target,
                  std::span<const std::uint8_t> bytes,
                  const Endpoint& from);

private:
  Timers timers;
  Guarantees& guarantees;
  const Deployment& deployment;
  TargetHooks hooks;

  void onOpening(Target& target,
                 const CallerPacket& packet,
                 const Endpoint& from);
  void onData(Target& target, const CallerPacket& packet);
  void startWork(Target& target, const FlowKey& flow, const std::string& id);
  void finishWork(Target& target,
                  std::uint64_t incarnation,
                  const FlowKey& flow,
                  const std::string& id);
  void send(const Target& target, TargetMessage message);
};

}

#endif
