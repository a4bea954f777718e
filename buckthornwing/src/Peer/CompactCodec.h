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

/// \brief Maximum length of a decoded string; limits the memory that a
/// malicious message can make the decoder allocate.
inline constexpr std::int32_t kMaxStringBytes = 64 * 1024;
/// \brief Maximum number of elements of a decoded container; limits the memory
/// in the same way.
inline constexpr std::int32_t kMaxElements = 4096;

/// \returns a generated struct, encoded with the Thrift compact protocol.
template<typename Struct>
std::string
encodeCompact(const Struct& value)
{
  auto buffer = std::make_shared<CompactBuffer>();
  CompactProtocol protocol(buffer);
  value.write(&protocol);
  return buffer->getBufferAsString();
}

/// \brief Decodes a generated struct with the Thrift compact protocol.
/// \returns whether the bytes are well formed
template<typename Struct>
bool
decodeCompact(std::span<const std::uint8_t> bytes, Struct& value)
{
  // Thrift takes a pointer to mutable bytes but only reads them.
  auto* start = const_cast<std::uint8_t*>(bytes.data());
  try {
    auto buffer = std::make_shared<CompactBuffer>(
      start, static_cast<std::uint32_t>(bytes.size()));
    CompactProtocol protocol(buffer, kMaxStringBytes, kMaxElements);
    value.read(&protocol);
  } catch (const apache::thrift::TException&) {
    return false;
  }
  return true;
}

}

#endif
