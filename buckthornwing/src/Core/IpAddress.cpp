#include "IpAddress.h"

#include <arpa/inet.h>
#include <charconv>
#include <cstring>

namespace buckthornwing {

std::optional<IpAddress>
parseIpAddress(std::string_view text)
{
  const std::string copy(text);
  IpAddress address;
  if (inet_pton(AF_INET, copy.c_str(), &address.bytes[12]) == 1) {
    address.bytes[10] = 0xff;
    address.bytes[11] = 0xff;
    return address;
  }
  if (inet_pton(AF_INET6, copy.c_str(), address.bytes.data()) == 1) {
    return address;
  }
  return std::nullopt;
}

std::string
formatIpAddress(const IpAddress& address)
{
  char buffer[INET6_ADDRSTRLEN] = {};
  const bool v4 = address.isV4();
  const void* start = v4 ? &address.bytes[12] : address.bytes.data();
  inet_ntop(v4 ? AF_INET : AF_INET6, start, buffer, sizeof buffer);
  return buffer;
}

std::optional<Endpoint>
parseEndpoint(std::string_view text)
{
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  const bool bracketed =
    host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const std::optional<IpAddress> address = parseIpAddress(host);
  if (!address || address->isV4() == bracketed) {
    return std::nullopt;
  }
  Endpoint endpoint{ *address, 0 };
  const char* end = port.data() + port.size();
  const auto [stop, code] = std::from_chars(port.data(), end, endpoint.port);
  if (code != std::errc{} || stop != end || port.empty()) {
    return std::nullopt;
  }
  return endpoint;
}

std::string
formatEndpoint(const Endpoint& endpoint)
{
  const std::string host = formatIpAddress(endpoint.address);
  const std::string port = std::to_string(endpoint.port);
  if (endpoint.address.isV4()) {
    return host + ":" + port;
  }
  return "[" + host + "]:" + port;
}

}
