#ifndef BUCKTHORNWING_MEASURE_RESULT_H
#define BUCKTHORNWING_MEASURE_RESULT_H

#include <Board>

#include <array>
#include <cstdint>
#include <string>

namespace buckthornwing::measure {

/// \brief The figures of one run of a scenario: one line of the output.
struct Result
{
  std::string scenario;
  std::string caseName; ///< empty for the scenario's main case
  std::string deployment;
  std::string policy;
  std::uint64_t seed = 0;
  std::uint64_t flows = 0;          ///< flows that callers opened
  std::uint64_t openFlows = 0;      ///< at the start of the measurement
  std::uint64_t broken = 0;         ///< reset, or not answered for 30 s
  std::uint64_t unreachable = 0;    ///< failed because of a partition
  std::uint64_t misdelivered = 0;   ///< packets at targets never selected
  std::uint64_t ranTwice = 0;       ///< openings that reached a second target
  std::uint64_t falseRefusals = 0;  ///< refused although a target has the flow
  std::uint64_t refused = 0;        ///< openings that were refused
  std::uint64_t latePlacements = 0; ///< at a target draining for over 3 s
  std::uint64_t slowOpenings = 0;   ///< answered after more than half a second
  double imbalance = 0;             ///< mean of one sample per second
  double relayShare = 0;            ///< of the callers' packets
  double crossZoneRelayShare = 0;   ///< of the callers' packets
  double controlBytesPerSecond = 0; ///< sent to peers per instance
  std::int64_t configLagMs = 0; ///< longest time from publishing to applying
  /// \name Not part of the JSON line
  /// @{
  /// \brief Number of times that an instance returned to an older revision.
  std::uint64_t revisionFalls = 0;
  std::array<std::uint64_t, std::variant_size_v<PeerBody>> bytesByKind{};
  std::array<std::uint64_t, kReasonCount> openingDrops{};
  std::array<std::uint64_t, kReasonCount> otherDrops{};
  /// @}
};

/// \returns control bytes by message kind and dropped packets by reason, as
/// human-readable text of several lines.
std::string
formatDetails(const Result& result);

/// \returns the result as one line of JSON without a line break. Equal results
/// give equal text.
std::string
formatResult(const Result& result);

}

#endif
