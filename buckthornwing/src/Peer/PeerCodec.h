#ifndef BUCKTHORNWING_PEER_CODEC_H
#define BUCKTHORNWING_PEER_CODEC_H

#include "PeerMessage.h"
#include "PeerSeal.h"

#include <span>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Encodes and authenticates the messages between instances.
///
/// The body of a datagram is the message's envelope in the Thrift compact
/// protocol; PeerSeal authenticates it.
class PeerCodec
{
public:
  /// \param key the fleet's shared key
  /// \param firstCounter must exceed every counter that an instance with this
  /// id has used, before a restart too; daemons pass the wall clock time in
  /// milliseconds, shifted left by 20 bits
  PeerCodec(const FleetKey& key, std::uint64_t firstCounter);

  /// \returns the datagram that carries a message.
  std::vector<std::uint8_t> seal(const PeerMessage& message);

  /// \brief Verifies and decodes a datagram.
  /// \returns PeerFault::none and the decoded \a message, or the reason for
  /// which the datagram is rejected
  PeerFault open(std::span<const std::uint8_t> datagram, PeerMessage& message);

private:
  PeerSeal authenticator;
};

/// \brief Decodes a message's envelope without authentication.
///
/// It does not set the sender, which is part of the datagram and not of the
/// envelope. It is declared here for tests and fuzzing.
/// \returns whether the bytes are a well-formed envelope
bool
decodeEnvelope(std::span<const std::uint8_t> bytes, PeerMessage& message);

/// \returns the envelope of a message in the Thrift compact protocol.
std::string
encodeEnvelope(const PeerMessage& message);

}

#endif
