#ifndef BUCKTHORNWING_EMULATOR_ADDRESSES_H
#define BUCKTHORNWING_EMULATOR_ADDRESSES_H

#include <Core>

#include <string>

namespace buckthornwing::emulator {

/// \brief The loopback addresses of one run: 127.NETWORK.KIND.INDEX. Ports
/// are equal on all instances.
struct Addresses
{
  unsigned network = 0;

  static constexpr unsigned kPacketPort = 8172;
  static constexpr unsigned kReadyPort = 8167;
  static constexpr unsigned kOperatorsPort = 8166;
  static constexpr unsigned kPeerPort = 7720;
  static constexpr unsigned kStorePort = 8169;
  static constexpr unsigned kTargetPort = 9000;

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
  Endpoint peerProxy(std::size_t instance) const
  {
    return this->at(2, instance, kPeerPort);
  }
  Endpoint storeProxy(std::size_t instance) const
  {
    return this->at(2, instance, kStorePort);
  }
  Endpoint store() const { return this->at(3, 0, kStorePort); }
  Endpoint callers(std::size_t zone) const
  {
    return this->at(4, zone, kPacketPort);
  }
  Endpoint target(std::size_t index) const
  {
    return this->at(5, index, kTargetPort);
  }
  Endpoint fabric() const { return this->at(4, 99, kPacketPort); }
  Endpoint destination(std::size_t route) const
  {
    return this->at(6, 0, static_cast<unsigned>(route + 1));
  }
};

}

#endif
