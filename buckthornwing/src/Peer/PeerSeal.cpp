#include "PeerSeal.h"

#include <sodium.h>

namespace buckthornwing {
namespace internal {

/// \brief Bytes before the body: version, sender's tag and counter.
constexpr std::size_t kPrefixBytes = 1 + sizeof(std::uint32_t) + 8;
/// \brief Bytes of the authentication tag after the body.
constexpr std::size_t kAuthenticationTagBytes = 16;

/// \brief Appends an integer in little-endian order.
template<typename Integer>
void
appendInteger(std::vector<std::uint8_t>& out, Integer value)
{
  for (std::size_t i = 0; i < sizeof value; ++i) {
    out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
  }
}

/// \returns the little-endian integer at the start of \a bytes.
template<typename Integer>
Integer
readInteger(std::span<const std::uint8_t> bytes)
{
  Integer value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i) {
    value |= static_cast<Integer>(bytes[i]) << (8 * i);
  }
  return value;
}

/// \brief Computes the authentication tag of \a bytes.
void
computeTag(std::span<const std::uint8_t> bytes,
           const FleetKey& key,
           std::array<std::uint8_t, kAuthenticationTagBytes>& tag)
{
  crypto_generichash(
    tag.data(), tag.size(), bytes.data(), bytes.size(), key.data(), key.size());
}

}

FleetKey
deriveFleetKey(std::string_view secret)
{
  FleetKey key{};
  crypto_generichash(key.data(),
                     key.size(),
                     reinterpret_cast<const unsigned char*>(secret.data()),
                     secret.size(),
                     nullptr,
                     0);
  return key;
}

std::string_view
peerFaultName(PeerFault fault)
{
  switch (fault) {
    case PeerFault::none:
      return "none";
    case PeerFault::truncated:
      return "truncated";
    case PeerFault::oversized:
      return "oversized";
    case PeerFault::unknownVersion:
      return "unknown_version";
    case PeerFault::notAuthentic:
      return "not_authentic";
    case PeerFault::replayed:
      return "replayed";
    case PeerFault::malformed:
      return "malformed";
  }
  return "unknown";
}

PeerSeal::PeerSeal(const FleetKey& key,
                   std::uint8_t version,
                   std::uint64_t firstCounter)
  : key(key)
  , version(version)
  , counter(firstCounter)
{
}

std::vector<std::uint8_t>
PeerSeal::seal(std::uint32_t sender, std::string_view body)
{
  std::vector<std::uint8_t> datagram;
  datagram.reserve(internal::kPrefixBytes + body.size() +
                   internal::kAuthenticationTagBytes);
  datagram.push_back(this->version);
  internal::appendInteger(datagram, sender);
  internal::appendInteger(datagram, ++this->counter);
  datagram.insert(datagram.end(), body.begin(), body.end());
  std::array<std::uint8_t, internal::kAuthenticationTagBytes> tag{};
  internal::computeTag(datagram, this->key, tag);
  datagram.insert(datagram.end(), tag.begin(), tag.end());
  return datagram;
}

PeerFault
PeerSeal::open(std::span<const std::uint8_t> datagram, SealedBody& body)
{
  if (datagram.size() <
      internal::kPrefixBytes + internal::kAuthenticationTagBytes) {
    return PeerFault::truncated;
  }
  if (datagram.size() > kMaxPeerDatagramBytes) {
    return PeerFault::oversized;
  }
  if (datagram[0] != this->version) {
    return PeerFault::unknownVersion;
  }
  const auto authenticated =
    datagram.first(datagram.size() - internal::kAuthenticationTagBytes);
  std::array<std::uint8_t, internal::kAuthenticationTagBytes> tag{};
  internal::computeTag(authenticated, this->key, tag);
  if (sodium_memcmp(tag.data(), &datagram[authenticated.size()], tag.size()) !=
      0) {
    return PeerFault::notAuthentic;
  }
  body.sender = internal::readInteger<std::uint32_t>(authenticated.subspan(1));
  const auto receivedCounter = internal::readInteger<std::uint64_t>(
    authenticated.subspan(1 + sizeof(body.sender)));
  if (!this->windows[body.sender].accept(receivedCounter)) {
    return PeerFault::replayed;
  }
  body.bytes = authenticated.subspan(internal::kPrefixBytes);
  return PeerFault::none;
}

}
