#ifndef BUCKTHORNWING_FLOW_RECORD_H
#define BUCKTHORNWING_FLOW_RECORD_H

#include "../Core/FlowKey.h"
#include "../Core/MilliTime.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief One flow of a FlowBatch, encoded in kFlowRecordBytes bytes.
struct FlowRecord
{
  FlowId flow;
  std::uint8_t target = 0; ///< position in FlowBatch::targets
  /// Time since the flow was placed. Encoding rounds it down, by less than 9 %
  /// plus 1 ms.
  MilliDuration age{};
};

/// \brief Size of an encoded record: six bytes of flow id, one of the target's
/// position and one of the age.
inline constexpr std::size_t kFlowRecordBytes = 8;

/// \brief Appends an encoded record to \a out.
void
packFlowRecord(const FlowRecord& record, std::string& out);

/// \returns the records that packFlowRecord() wrote to \a packed; nothing if
/// the size is not a multiple of kFlowRecordBytes.
std::optional<std::vector<FlowRecord>>
unpackFlowRecords(std::string_view packed);

/// \returns ascending numbers, encoded as the difference of each one to its
/// predecessor, in a varint (LEB128) of one to five bytes.
std::string
packAscending(std::span<const std::uint32_t> numbers);

/// \returns the numbers that packAscending() encoded; nothing if \a packed is
/// malformed.
std::optional<std::vector<std::uint32_t>>
unpackAscending(std::string_view packed);

/// \returns numbers of any order, each encoded as a varint (LEB128) of one to
/// five bytes.
std::string
packNumbers(std::span<const std::uint32_t> numbers);

/// \returns the numbers that packNumbers() encoded; nothing if \a packed is
/// malformed.
std::optional<std::vector<std::uint32_t>>
unpackNumbers(std::string_view packed);

}

#endif
