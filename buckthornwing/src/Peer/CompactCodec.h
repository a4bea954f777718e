#ifndef BUCKTHORNWING_COMPACT_CODEC_H
#define BUCKTHORNWING_COMPACT_CODEC_H

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace buckthornwing::internal {

using CompactBuffer = apache::thrift::transport::TMemoryBuffer;
using CompactProtocol =
  apache::thrift::protocol::TCompactProtocolT<CompactBuffer>;

/// \brief Bounds on what a hostile body can make the decoder allocate.
inline constexpr std::int32_t kMostStringBytes = 64 * 1024;
inline constexpr std::int32_t kMostElements = 4096;

/// \returns the Thrift compact form of a generated struct.
template<typename Struct>
std::string
encodeCompact(const Struct& value)
{
  auto buffer = std::make_shared<CompactBuffer>();
  CompactProtocol protocol(buffer);
  value.write(&protocol);
  return buffer->getBufferAsString();
}

/// \brief Decodes the Thrift compact form of a generated struct.
/// \returns whether the bytes are well formed
template<typename Struct>
bool
decodeCompact(std::span<const std::uint8_t> bytes, Struct& value)
{
  // Thrift takes a mutable pointer but only observes it.
  auto* start = const_cast<std::uint8_t*>(bytes.data());
  try {
    auto buffer = std::make_shared<CompactBuffer>(
      start, static_cast<std::uint32_t>(bytes.size()));
    CompactProtocol protocol(buffer, kMostStringBytes, kMostElements);
    value.read(&protocol);
  } catch (const apache::thrift::TException&) {
    return false;
  }
  return true;
}

}

#endif
