#ifndef BUCKTHORNWING_IP_ADDRESS_H
#define BUCKTHORNWING_IP_ADDRESS_H

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief An IPv4 or IPv6 address in network byte order. IPv4 addresses are
/// stored as IPv4-mapped IPv6 addresses (::ffff:a.b.c.d).
struct IpAddress
{
  std::array<std::uint8_t, 16> bytes{};

  auto operator<=>(const IpAddress&) const = default;

  bool isV4() const
  {
    constexpr std::array<std::uint8_t, 12> kPrefix{ 0, 0, 0, 0, 0,    0,
                                                    0, 0, 0, 0, 0xff, 0xff };
    for (std::size_t i = 0; i < kPrefix.size(); ++i) {
      if (this->bytes[i] != kPrefix[i]) {
        return false;
      }
    }
    return true;
  }
};

/// \brief Parses an IPv4 address in dotted decimal notation or an IPv6 address.
/// \returns the address, or nothing if the text is malformed
std::optional<IpAddress>
parseIpAddress(std::string_view text);

/// \returns the address as text, IPv4 in dotted decimal notation.
std::string
formatIpAddress(const IpAddress& address);

/// \brief An IP address and a port; the port is in host byte order.
struct Endpoint
{
  IpAddress address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// \brief Parses "a.b.c.d:port" or "[v6]:port".
/// \returns the endpoint, or nothing if the text is malformed
std::optional<Endpoint>
parseEndpoint(std::string_view text);

/// \returns "a.b.c.d:port" or "[v6]:port".
std::string
formatEndpoint(const Endpoint& endpoint);

}

#endif
