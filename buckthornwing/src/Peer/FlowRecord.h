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

/// \brief One flow in a FlowBatch; takes kFlowRecordBytes on the wire.
struct FlowRecord
{
  FlowId flow;
  std::uint8_t target = 0; ///< position in FlowBatch::targets
  MilliDuration age{};     ///< since placement, coarse on the wire
};

/// \brief Six bytes of flow id, the target's position and an age code.
inline constexpr std::size_t kFlowRecordBytes = 8;

/// \brief Appends a record's packed form.
void
packFlowRecord(const FlowRecord& record, std::string& out);

/// \returns all records of a packed text; nothing if its size is wrong.
std::optional<std::vector<FlowRecord>>
unpackFlowRecords(std::string_view packed);

/// \brief Packs ascending numbers as differences of one to five bytes.
std::string
packAscending(std::span<const std::uint32_t> numbers);

/// \brief Reads what packAscending() wrote; nothing if it is malformed.
std::optional<std::vector<std::uint32_t>>
unpackAscending(std::string_view packed);

/// \brief Packs numbers of any order, one to five bytes each.
std::string
packNumbers(std::span<const std::uint32_t> numbers);

/// \brief Reads what packNumbers() wrote; nothing if it is malformed.
std::optional<std::vector<std::uint32_t>>
unpackNumbers(std::string_view packed);

}

#endif
