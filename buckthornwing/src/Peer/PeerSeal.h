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

/// \brief What an opened datagram holds; a view into it.
struct SealedBody
{
  std::uint32_t sender = 0;
  std::span<const std::uint8_t> bytes;
};

/// \brief Authenticates datagrams between instances and refuses replays.
///
/// A datagram is: version (1 byte), sender's tag (4), counter (8), the body,
/// and a keyed BLAKE2b tag (16) over all before it.
class PeerSeal
{
public:
  /// \param version of the bodies' format
  /// \param firstCounter above every counter that this sender's tag ever used
  PeerSeal(const FleetKey& key,
           std::uint8_t version,
           std::uint64_t firstCounter);

  /// \returns the datagram for a body.
  std::vector<std::uint8_t> seal(std::uint32_t sender, std::string_view body);

  /// \brief Opens a datagram.
  /// \returns none, with \a body filled, or what is wrong with it
  PeerFault open(std::span<const std::uint8_t> datagram, SealedBody& body);

private:
  FleetKey key;
  std::uint8_t version;
  std::uint64_t counter;
  std::unordered_map<std::uint32_t, ReplayWindow> windows;
};

}

#endif
