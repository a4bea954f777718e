#ifndef BUCKTHORNWING_EMULATOR_FABRIC_H
#define BUCKTHORNWING_EMULATOR_FABRIC_H

#include "Instances.h"

#include <Tagging>

#include <string>
#include <vector>

namespace buckthornwing::emulator {

/// \brief Faults of the link from the fabric to one instance.
struct LinkFault
{
  double lossProbability = 0;        ///< for each packet, 0 to 1
  double duplicationProbability = 0; ///< for each packet, 0 to 1
  MilliDuration maxDelay{};          ///< delays are uniform from 0 to this
};

/// \brief The network fabric in front of the instances. It checks which
/// instances are ready and distributes the callers' packets among them by a
/// hash of the flow.
class Fabric
{
public:
  Fabric(boost::asio::io_context& context,
         const Addresses& addresses,
         Instances& instances,
         std::uint64_t seed);

  /// \brief Starts the periodic readiness checks of the instances.
  /// \returns an error if the socket can't be bound
  boost::leaf::result<void> start();

  /// \brief Sends a packet to the instance of a zone that the hash of its flow
  /// selects. The packet is dropped if the zone has no instance.
  void send(const std::string& zone, const CallerPacket& packet);

  void setFault(std::size_t instance, const LinkFault& fault)
  {
    this->links[instance].fault = fault;
  }

  /// \returns whether the last readiness check of the instance succeeded.
  bool isReady(std::size_t instance) const
  {
    return this->links[instance].failedChecks == 0;
  }

private:
  struct Link
  {
    LinkFault fault;
    int failedChecks = 2; ///< in a row; an instance is not ready at first
  };

  boost::asio::io_context& context;
  Timers timers;
  Addresses addresses;
  Instances& instances;
  Random random;
  DatagramSocket socket;
  std::vector<Link> links;

  void checkReadiness();
  /// \returns the ready instances of a zone, or all its instances if fewer than
  /// half of them are ready.
  std::vector<std::size_t> eligibleInstances(const std::string& zone);
  /// \returns a uniformly distributed number in [0, 1).
  double randomFraction();
};

}

#endif
