#ifndef BUCKTHORNWING_MEASURE_RESULT_H
#define BUCKTHORNWING_MEASURE_RESULT_H

#include <Board>

#include <array>
#include <cstdint>
#include <string>

namespace buckthornwing::measure {

/// \brief One line of the measurement.
struct Result
{
  std::string scenario;
  std::string caseName; ///< empty if the scenario has one case
  std::string deployment;
  std::string policy;
  std::uint64_t seed = 0;
  std::uint64_t flows = 0;
  std::uint64_t openFlows = 0; ///< when the fault came
  std::uint64_t broken = 0;
  std::uint64_t unreachable = 0; ///< their target was beyond a partition
  std::uint64_t misdelivered = 0;
  std::uint64_t ranTwice = 0;
  std::uint64_t falseRefusals = 0;
  std::uint64_t refused = 0;
  std::uint64_t latePlacements = 0;
  std::uint64_t slowOpenings = 0; ///< took more than half a second
  double imbalance = 0;
  double relayShare = 0;
  double crossZoneRelayShare = 0;
  double controlBytesPerSecond = 0;
  std::int64_t configLagMs = 0;
  /// \name Not in the line, printed on request
  /// @{
  std::uint64_t revisionFalls = 0;
  std::array<std::uint64_t, std::variant_size_v<PeerBody>> bytesByKind{};
  std::array<std::uint64_t, kReasonCount> openingDrops{};
  std::array<std::uint64_t, kReasonCount> otherDrops{};
  /// @}
};

/// \returns control bytes by kind of message, and drops by reason, as text
/// for people.
std::string
formatDetails(const Result& result);

/// \returns the result as one JSON line, the same for the same result.
std::string
formatResult(const Result& result);

}

#endif
