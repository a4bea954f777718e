#ifndef BUCKTHORNWING_FLEET_CODEC_H
#define BUCKTHORNWING_FLEET_CODEC_H

#include "../Peer/PeerSeal.h"
#include "FleetMessage.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Seals and opens the messages of one instance to its peers.
class FleetCodec
{
public:
  explicit FleetCodec(const FleetKey& key);

  /// \returns the datagram for a message.
  std::vector<std::uint8_t> seal(const FleetMessage& message);

  /// \brief Opens a datagram.
  /// \returns none, with \a message filled, or what is wrong with it
  PeerFault open(std::span<const std::uint8_t> datagram, FleetMessage& message);

private:
  PeerSeal authenticator;
};

/// \returns the Thrift compact form of a message.
std::string
encodeFleetMessage(const FleetMessage& message);

/// \brief Decodes a message without authentication; for tests and fuzzing.
/// \returns whether the bytes are a well-formed message
bool
decodeFleetMessage(std::span<const std::uint8_t> bytes, FleetMessage& message);

/// \returns the Thrift compact form of an update.
std::string
encodeViewUpdate(const ViewUpdate& update);

/// \returns nothing if the bytes are no well-formed update.
std::optional<ViewUpdate>
decodeViewUpdate(std::span<const std::uint8_t> bytes);

}

#endif
