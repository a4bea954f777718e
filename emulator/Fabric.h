#ifndef BUCKTHORNWING_EMULATOR_FABRIC_H
#define BUCKTHORNWING_EMULATOR_FABRIC_H

#include "Instances.h"

#include <Tagging>

#include <string>
#include <vector>

namespace buckthornwing::emulator {

/// \brief What happens to packets on their way to one instance.
struct LinkFault
{
  double lossProbability = 0;
  double duplicationProbability = 0;
  MilliDuration maxDelay{};
};

/// \brief The fabric before the instances: checks which are ready and spreads
/// callers' packets over them by a hash of the flow.
class Fabric
{
public:
  Fabric(boost::asio::io_context& context,
         const Addresses& addresses,
         Instances& instances,
         std::uint64_t seed);

  /// \brief Starts asking the instances whether they are ready.
  boost::leaf::result<void> start();

  /// \brief Sends a packet to the instance that its flow hashes to.
  void send(const std::string& zone, const CallerPacket& packet);

  void setFault(std::size_t instance, const LinkFault& fault)
  {
    this->links[instance].fault = fault;
  }

  /// \returns whether the instance answered its last check with success.
  bool isReady(std::size_t instance) const
  {
    return this->links[instance].failedChecks == 0;
  }

private:
  struct Link
  {
    LinkFault fault;
    int failedChecks = 2;
  };

  boost::asio::io_context& context;
  Timers timers;
  Addresses addresses;
  Instances& instances;
  Random random;
  DatagramSocket socket;
  std::vector<Link> links;

  void checkReadiness();
  std::vector<std::size_t> eligibleInstances(const std::string& zone);
  double randomFraction();
};

}

#endif
