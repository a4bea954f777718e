#include "FlowRecord.h"

#include <algorithm>
#include <cmath>

namespace buckthornwing {
namespace internal {

constexpr std::size_t kFlowIdBytes = kFlowIdBits / 8;
/// \brief Resolution of the encoded age, which is logarithmic: the code grows
/// by eight when the age doubles.
constexpr double kCodesPerDoubling = 8;
constexpr unsigned kMaxVarintBytes = 5;

std::uint8_t
encodeAge(MilliDuration age)
{
  const auto ms = static_cast<double>(std::max<std::int64_t>(age.ms, 0));
  const double code = std::log2(ms + 1) * kCodesPerDoubling;
  return static_cast<std::uint8_t>(std::min(code, 255.0));
}

MilliDuration
decodeAge(std::uint8_t code)
{
  const double ms = std::exp2(code / kCodesPerDoubling) - 1;
  return MilliDuration{ static_cast<std::int64_t>(ms) };
}

/// \brief Appends a number to \a out as a varint (LEB128).
void
packVarint(std::uint32_t number, std::string& out)
{
  while (number >= 0x80U) {
    out.push_back(static_cast<char>((number & 0x7fU) | 0x80U));
    number >>= 7U;
  }
  out.push_back(static_cast<char>(number));
}

/// \brief Reads a varint (LEB128) and removes it from the front of \a packed.
/// \returns the number; nothing if it is incomplete or exceeds 32 bits
std::optional<std::uint32_t>
unpackVarint(std::string_view& packed)
{
  std::uint64_t number = 0;
  for (unsigned i = 0; i < kMaxVarintBytes && i < packed.size(); ++i) {
    const auto byte = static_cast<std::uint8_t>(packed[i]);
    number |= static_cast<std::uint64_t>(byte & 0x7fU) << (7U * i);
    if ((byte & 0x80U) != 0) {
      continue;
    }
    packed.remove_prefix(i + 1);
    if (number > 0xffffffffU) {
      return std::nullopt;
    }
    return static_cast<std::uint32_t>(number);
  }
  return std::nullopt;
}

}

void
packFlowRecord(const FlowRecord& record, std::string& out)
{
  for (std::size_t i = 0; i < internal::kFlowIdBytes; ++i) {
    out.push_back(static_cast<char>(record.flow.bits >> (8 * i)));
  }
  out.push_back(static_cast<char>(record.target));
  out.push_back(static_cast<char>(internal::encodeAge(record.age)));
}

std::optional<std::vector<FlowRecord>>
unpackFlowRecords(std::string_view packed)
{
  if (packed.size() % kFlowRecordBytes != 0) {
    return std::nullopt;
  }
  std::vector<FlowRecord> records(packed.size() / kFlowRecordBytes);
  std::size_t position = 0;
  for (FlowRecord& record : records) {
    for (std::size_t i = 0; i < internal::kFlowIdBytes; ++i) {
      const auto byte = static_cast<std::uint8_t>(packed[position++]);
      record.flow.bits |= static_cast<std::uint64_t>(byte) << (8 * i);
    }
    record.target = static_cast<std::uint8_t>(packed[position++]);
    record.age =
      internal::decodeAge(static_cast<std::uint8_t>(packed[position++]));
  }
  return records;
}

std::string
packAscending(std::span<const std::uint32_t> numbers)
{
  std::string out;
  std::uint32_t previous = 0;
  for (const std::uint32_t number : numbers) {
    internal::packVarint(number - previous, out);
    previous = number;
  }
  return out;
}

std::optional<std::vector<std::uint32_t>>
unpackAscending(std::string_view packed)
{
  auto numbers = unpackNumbers(packed);
  std::uint32_t previous = 0;
  for (std::size_t i = 0; numbers && i < numbers->size(); ++i) {
    previous += (*numbers)[i];
    (*numbers)[i] = previous;
  }
  return numbers;
}

std::string
packNumbers(std::span<const std::uint32_t> numbers)
{
  std::string out;
  for (const std::uint32_t number : numbers) {
    internal::packVarint(number, out);
  }
  return out;
}

std::optional<std::vector<std::uint32_t>>
unpackNumbers(std::string_view packed)
{
  std::vector<std::uint32_t> numbers;
  while (!packed.empty()) {
    const auto number = internal::unpackVarint(packed);
    if (!number) {
      return std::nullopt;
    }
    numbers.push_back(*number);
  }
  return numbers;
}

}
