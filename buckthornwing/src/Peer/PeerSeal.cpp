#include "PeerSeal.h"

#include <sodium.h>

namespace buckthornwing {
namespace internal {

constexpr std::size_t kPrefixBytes = 1 + sizeof(std::uint32_t) + 8;
constexpr std::size_t kTagBytes = 16;

template<typename Integer>
void
appendInteger(std::vector<std::uint8_t>& out, Integer value)
{
  for (std::size_t i = 0; i < sizeof value; ++i) {
    out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
  }
}

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

void
authenticate(std::span<const std::uint8_t> bytes,
             const FleetKey& key,
             std::array<std::uint8_t, kTagBytes>& tag)
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
  datagram.reserve(internal::kPrefixBytes + body.size() + internal::kTagBytes);
  datagram.push_back(this->version);
  internal::appendInteger(datagram, sender);
  internal::appendInteger(datagram, ++this->counter);
  datagram.insert(datagram.end(), body.begin(), body.end());
  std::array<std::uint8_t, internal::kTagBytes> tag{};
  internal::authenticate(datagram, this->key, tag);
  datagram.insert(datagram.end(), tag.begin(), tag.end());
  return datagram;
}

PeerFault
PeerSeal::open(std::span<const std::uint8_t> datagram, SealedBody& body)
{
  if (datagram.size() < internal::kPrefixBytes + internal::kTagBytes) {
    return PeerFault::truncated;
  }
  if (datagram.size() > kMostPeerDatagramBytes) {
    return PeerFault::oversized;
  }
  if (datagram[0] != this->version) {
    return PeerFault::unknownVersion;
  }
  const auto sealed = datagram.first(datagram.size() - internal::kTagBytes);
  std::array<std::uint8_t, internal::kTagBytes> tag{};
  internal::authenticate(sealed, this->key, tag);
  if (sodium_memcmp(tag.data(), &datagram[sealed.size()], tag.size()) != 0) {
    return PeerFault::notAuthentic;
  }
  body.sender = internal::readInteger<std::uint32_t>(sealed.subspan(1));
  const auto sent = internal::readInteger<std::uint64_t>(
    sealed.subspan(1 + sizeof(body.sender)));
  if (!this->windows[body.sender].accept(sent)) {
    return PeerFault::replayed;
  }
  body.bytes = sealed.subspan(internal::kPrefixBytes);
  return PeerFault::none;
}

}
