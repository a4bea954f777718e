#ifndef BUCKTHORNWING_FLEET_CODEC_H
#define BUCKTHORNWING_FLEET_CODEC_H

#include "../Peer/PeerSeal.h"
#include "FleetMessage.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Encodes and authenticates the messages between instances.
class FleetCodec
{
public:
  explicit FleetCodec(const FleetKey& key);

  /// \returns the authenticated datagram of a message.
  std::vector<std::uint8_t> seal(const FleetMessage& message);

  /// \brief Verifies and decodes a datagram.
  /// \param message the decoded message; valid only if the result is none
  /// \returns PeerFault::none, or the reason why the datagram is rejected
  PeerFault open(std::span<const std::uint8_t> datagram, FleetMessage& message);

private:
  PeerSeal authenticator;
};

/// \returns the Thrift compact form of a message.
std::string
encodeFleetMessage(const FleetMessage& message);

/// \brief Decodes a message without authentication; for tests and fuzzing.
/// \returns whether the bytes are a well-formed message; otherwise \a message
/// is unspecified
bool
decodeFleetMessage(std::span<const std::uint8_t> bytes, FleetMessage& message);

/// \returns the Thrift compact form of an update.
std::string
encodeViewUpdate(const ViewUpdate& update);

/// \returns the decoded update; nothing if the bytes are malformed.
std::optional<ViewUpdate>
decodeViewUpdate(std::span<const std::uint8_t> bytes);

}

#endif
