#ifndef BUCKTHORNWING_EMULATOR_ADDRESSES_H
#define BUCKTHORNWING_EMULATOR_ADDRESSES_H

#include <Core>

#include <string>

namespace buckthornwing::emulator {

/// \brief Address plan of one emulation: loopback addresses of the form
/// 127.NETWORK.KIND.INDEX, where the last octet is the index plus 1.
///
/// Each instance has an IP address of its own, so all instances use the same
/// ports.
struct Addresses
{
  unsigned network = 0; ///< second octet, equal for all parts of one run

  static constexpr unsigned kPacketPort = 8172;
  static constexpr unsigned kReadyPort = 8167;
  static constexpr unsigned kOperatorsPort = 8166;
  static constexpr unsigned kPeerPort = 7720;
  static constexpr unsigned kStorePort = 8169;
  static constexpr unsigned kTargetPort = 9000;

  /// \returns the endpoint of part number \a index of a kind. The kinds are 1
  /// for instances, 2 for proxies, 3 for the store, 4 for callers and the
  /// fabric, 5 for targets and 6 for destinations of flows.
  Endpoint at(unsigned kind, std::size_t index, unsigned port) const
  {
    return *parseEndpoint(
      "127." + std::to_string(this->network) + "." + std::to_string(kind) +
      "." + std::to_string(index + 1) + ":" + std::to_string(port));
  }

  Endpoint packets(std::size_t instance) const
  {
    return this->at(1, instance, kPacketPort);
  }
  Endpoint ready(std::size_t instance) const
  {
    return this->at(1, instance, kReadyPort);
  }
  Endpoint operators(std::size_t instance) const
  {
    return this->at(1, instance, kOperatorsPort);
  }
  Endpoint peer(std::size_t instance) const
  {
    return this->at(1, instance, kPeerPort);
  }
  /// \returns the endpoint at which an instance is known to its peers.
  Endpoint peerProxy(std::size_t instance) const
  {
    return this->at(2, instance, kPeerPort);
  }
  /// \returns the endpoint at which an instance connects to the store.
  Endpoint storeProxy(std::size_t instance) const
  {
    return this->at(2, instance, kStorePort);
  }
  Endpoint store() const { return this->at(3, 0, kStorePort); }
  /// \returns the endpoint that receives resets for the callers of a zone.
  Endpoint callers(std::size_t zone) const
  {
    return this->at(4, zone, kPacketPort);
  }
  Endpoint target(std::size_t index) const
  {
    return this->at(5, index, kTargetPort);
  }
  /// \returns the endpoint from which the fabric sends packets to instances.
  Endpoint fabric() const { return this->at(4, 99, kPacketPort); }
  /// \returns the destination of the flows of a route.
  Endpoint destination(std::size_t route) const
  {
    return this->at(6, 0, static_cast<unsigned>(route + 1));
  }
};

}

#endif
