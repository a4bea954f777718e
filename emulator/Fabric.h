#ifndef BUCKTHORNWING_EMULATOR_FABRIC_H
#define BUCKTHORNWING_EMULATOR_FABRIC_H

#include "Entries.h"

#include <Tagging>

#include <string>
#include <vector>

namespace buckthornwing::emulator {

/// \brief What happens to packets on their way to one instance.
struct LinkFault
{
  double lossShare = 0;
  double copyShare = 0;
  MilliDuration mostDelay{};
};

/// \brief The fabric before the instances: checks which are ready and spreads
/// callers' packets over them by a hash of the flow.
class Fabric
{
public:
  Fabric(boost::asio::io_context& context,
         const Addresses& addresses,
         Entries& entries,
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
    return this->links[instance].misses == 0;
  }

private:
  struct Link
  {
    LinkFault fault;
    int misses = 2;
  };

  boost::asio::io_context& context;
  Timers timers;
  Addresses addresses;
  Entries& entries;
  Random random;
  Datagrams socket;
  std::vector<Link> links;

  void check();
  std::vector<std::size_t> inRotation(const std::string& zone);
  double chance();
};

}

#endif
