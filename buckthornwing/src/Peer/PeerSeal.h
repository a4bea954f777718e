#ifndef BUCKTHORNWING_PEER_SEAL_H
#define BUCKTHORNWING_PEER_SEAL_H

#include "ReplayWindow.h"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthornwing {

/// \brief Key for message authentication, derived from the secret that is in
/// the settings of every instance of a fleet.
using FleetKey = std::array<std::uint8_t, 32>;

/// \returns the key derived from a secret text of any length.
FleetKey
deriveFleetKey(std::string_view secret);

/// \brief Reason for which a datagram is rejected.
enum class PeerFault : std::uint8_t
{
  none, ///< the datagram is accepted
  truncated,
  oversized,
  unknownVersion, ///< another format version
  notAuthentic,   ///< authentication tag does not match
  replayed,       ///< counter was received before, or is too old to tell
  malformed,      ///< authentic, but the body can't be decoded
};

/// \returns the fault's name in logs and metrics.
std::string_view
peerFaultName(PeerFault fault);

/// \brief Maximum size of a datagram between instances in bytes; large enough
/// for a relayed packet.
inline constexpr std::size_t kMaxPeerDatagramBytes = 10UL * 1024;

/// \brief Sender and body of a verified datagram.
struct SealedBody
{
  std::uint32_t sender = 0;            ///< tag of the sending instance
  std::span<const std::uint8_t> bytes; ///< refers to the datagram's memory
};

/// \brief Authenticates datagrams between instances and rejects replayed ones.
/// It does not encrypt them.
///
/// A datagram consists of the format version (1 byte), the sender's tag
/// (4 bytes), a counter (8 bytes), the body, and an authentication tag
/// (16 bytes): keyed BLAKE2b over everything before it. Integers are
/// little-endian.
class PeerSeal
{
public:
  /// \param key the fleet's shared key
  /// \param version the bodies' format; other datagrams are rejected
  /// \param firstCounter must exceed every counter that was ever sent with this
  /// sender's tag
  PeerSeal(const FleetKey& key,
           std::uint8_t version,
           std::uint64_t firstCounter);

  /// \returns the authenticated datagram for a body.
  /// \param sender tag of this instance
  std::vector<std::uint8_t> seal(std::uint32_t sender, std::string_view body);

  /// \brief Verifies a datagram.
  /// \returns PeerFault::none with \a body set, or the reason for which the
  /// datagram is rejected
  PeerFault open(std::span<const std::uint8_t> datagram, SealedBody& body);

private:
  FleetKey key;
  std::uint8_t version;
  std::uint64_t counter;
  std::unordered_map<std::uint32_t, ReplayWindow> windows;
};

}

#endif
