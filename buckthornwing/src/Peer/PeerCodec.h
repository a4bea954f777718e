#ifndef BUCKTHORNWING_PEER_CODEC_H
#define BUCKTHORNWING_PEER_CODEC_H

#include "PeerMessage.h"
#include "PeerSeal.h"

#include <span>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Seals and opens peer messages of one instance.
///
/// The body of a sealed datagram is the Thrift compact envelope.
class PeerCodec
{
public:
  /// \param firstCounter above every counter this instance id ever used;
  /// daemons pass the wall clock in milliseconds shifted by 20 bits
  PeerCodec(const FleetKey& key, std::uint64_t firstCounter);

  /// \returns the datagram for a message.
  std::vector<std::uint8_t> seal(const PeerMessage& message);

  /// \brief Opens a datagram.
  /// \returns none, with \a message filled, or what is wrong with it
  PeerFault open(std::span<const std::uint8_t> datagram, PeerMessage& message);

private:
  PeerSeal authenticator;
};

/// \brief Decodes an envelope without authentication; for tests and fuzzing.
/// \returns whether the bytes are a well-formed envelope
bool
decodeEnvelope(std::span<const std::uint8_t> bytes, PeerMessage& message);

/// \returns the Thrift compact form of a message.
std::string
encodeEnvelope(const PeerMessage& message);

}

#endif
