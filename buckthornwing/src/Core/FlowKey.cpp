#include "FlowKey.h"

namespace buckthornwing {

std::string_view
protocolName(Protocol protocol)
{
  return protocol == Protocol::tcp ? "tcp" : "udp";
}

std::optional<Protocol>
parseProtocol(std::string_view text)
{
  if (text == "tcp") {
    return Protocol::tcp;
  }
  if (text == "udp") {
    return Protocol::udp;
  }
  return std::nullopt;
}

std::string
formatFlowKey(const FlowKey& key)
{
  return std::string(protocolName(key.protocol)) + " " +
         formatEndpoint(key.source) + " " + formatEndpoint(key.destination);
}

std::optional<FlowKey>
parseFlowKey(std::string_view text)
{
  const std::size_t first = text.find(' ');
  const std::size_t second = text.rfind(' ');
  if (first == std::string_view::npos || first == second) {
    return std::nullopt;
  }
  const auto protocol = parseProtocol(text.substr(0, first));
  const auto source = parseEndpoint(text.substr(first + 1, second - first - 1));
  const auto destination = parseEndpoint(text.substr(second + 1));
  if (!protocol || !source || !destination) {
    return std::nullopt;
  }
  if (source->address.isV4() != destination->address.isV4()) {
    return std::nullopt;
  }
  return FlowKey{ *source, *destination, *protocol };
}

}
