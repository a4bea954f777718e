#ifndef BUCKTHORNWING_PEER_CODEC_H
#define BUCKTHORNWING_PEER_CODEC_H

#include "PeerMessage.h"
#include "ReplayWindow.h"

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthornwing {

/// \brief Secret that every instance of a fleet is given in its settings.
using FleetKey = std::array<std::uint8_t, 32>;

/// \returns the key for a text of any length.
FleetKey
deriveFleetKey(std::string_view secret);

/// \brief Why a datagram was not taken as a peer message.
enum class PeerFault : std::uint8_t
{
  none,
  truncated,
  oversized,
  unknownVersion,
  notAuthentic,
  replayed,
  malformed,
};

/// \returns a stable lower-case name for logs and metrics.
std::string_view
peerFaultName(PeerFault fault);

/// \brief Largest datagram between instances; relayed packets fit in it.
inline constexpr std::size_t kMostPeerDatagramBytes = 10UL * 1024;

/// \brief Seals and opens peer messages of one instance.
///
/// A datagram is: version (1 byte), sender's tag (4), counter (8), the Thrift
/// compact envelope, and a keyed BLAKE2b tag (16) over all before it.
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
  FleetKey key;
  std::uint64_t counter;
  std::unordered_map<MemberTag, ReplayWindow> windows;
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
