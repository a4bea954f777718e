#ifndef BUCKTHORNWING_FLOW_KEY_H
#define BUCKTHORNWING_FLOW_KEY_H

#include "Hash.h"
#include "IpAddress.h"

#include <array>
#include <bit>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Transport protocols whose flows are balanced, by IP protocol number.
enum class Protocol : std::uint8_t
{
  tcp = 6,
  udp = 17,
};

/// \brief Addresses, ports and protocol of a packet, which identify its flow.
struct FlowKey
{
  Endpoint source;
  Endpoint destination;
  Protocol protocol = Protocol::tcp;

  auto operator<=>(const FlowKey&) const = default;
};

/// \brief A keyed hash of a flow key, 48 bits wide, by which instances refer to
/// flows in their messages.
///
/// At 300,000 flows per instance, 48 bits keep the probability of a false match
/// below one in 10^9.
struct FlowId
{
  std::uint64_t bits = 0;

  auto operator<=>(const FlowId&) const = default;
};

/// \brief Number of significant bits of a FlowId.
inline constexpr unsigned kFlowIdBits = 48;

/// \returns the flow's id.
/// \param seed the fleet's hash seed; ids of different seeds do not match
inline FlowId
flowIdOf(const FlowKey& key, std::uint64_t seed)
{
  struct HashInput
  {
    std::uint64_t words[5];
  };
  HashInput input{};
  const auto source =
    std::bit_cast<std::array<std::uint64_t, 2>>(key.source.address.bytes);
  const auto destination =
    std::bit_cast<std::array<std::uint64_t, 2>>(key.destination.address.bytes);
  input.words[0] = source[0] ^ (destination[0] * 3);
  input.words[1] = source[1];
  input.words[2] = destination[1];
  input.words[3] = static_cast<std::uint64_t>(key.source.port) |
                   static_cast<std::uint64_t>(key.destination.port) << 16 |
                   static_cast<std::uint64_t>(key.protocol) << 32;
  input.words[4] = destination[0];
  const auto bytes =
    std::bit_cast<std::array<std::uint8_t, sizeof(HashInput)>>(input);
  const std::uint64_t hash = hashBytes(bytes, seed);
  return FlowId{ hash >> (64 - kFlowIdBits) };
}

/// \returns the protocol, source and destination as text, for example
/// "tcp 198.51.100.7:40001 203.0.113.10:443".
std::string
formatFlowKey(const FlowKey& key);

/// \brief Parses text in the format of formatFlowKey().
/// \returns the key, or nothing if the text is malformed or the addresses are
/// of different IP versions
std::optional<FlowKey>
parseFlowKey(std::string_view text);

/// \returns the protocol's lower-case name.
std::string_view
protocolName(Protocol protocol);

/// \brief Parses "tcp" or "udp".
/// \returns the protocol, or nothing for any other text
std::optional<Protocol>
parseProtocol(std::string_view text);

}

/// \brief Hash of a FlowId for hash maps. The id is a hash already; the
/// multiplication distributes its 48 bits over all 64.
template<>
struct std::hash<buckthornwing::FlowId>
{
  using is_avalanching = void;
  std::size_t operator()(buckthornwing::FlowId id) const
  {
    return id.bits * 0x9e3779b97f4a7c15ULL;
  }
};

#endif
