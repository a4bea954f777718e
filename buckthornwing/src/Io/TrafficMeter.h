#ifndef BUCKTHORNWING_TRAFFIC_METER_H
#define BUCKTHORNWING_TRAFFIC_METER_H

#include "../Core/LinkMeter.h"
#include "../Fleet/FleetMessage.h"

#include <array>
#include <cstdint>
#include <optional>

namespace buckthornwing {

/// \brief What the bytes on an instance's link are for.
enum class TrafficKind : std::uint8_t
{
  packets, ///< of callers
  heartbeats,
  viewRequests,
  viewParts,
  memberRequests,
  storeAnswers,
};

inline constexpr std::size_t kTrafficKindCount = 6;

/// \returns a stable lower-case name for logs and metrics.
const char*
trafficKindName(TrafficKind kind);

/// \returns the kind of a message between instances.
TrafficKind
trafficKindOf(const FleetMessage& message);

using TrafficBytes = std::array<std::uint64_t, kTrafficKindCount>;

/// \brief What passed an instance's link in a span.
struct TrafficReport
{
  MilliDuration span{};
  TrafficBytes sent{};
  TrafficBytes received{};
  MilliDuration mostBacklog{}; ///< estimated, of what was sent
  MilliDuration mostTickGap{}; ///< longest time between two ticks
};

/// \brief Counts the bytes on an instance's link by kind, and tells of spans
/// in which the link was busy or the process stood still.
class TrafficMeter
{
public:
  explicit TrafficMeter(double linkMegabits)
    : link(linkMegabits)
  {
  }

  void onSent(TrafficKind kind, std::size_t bytes, MilliTime now);
  void onReceived(TrafficKind kind, std::size_t bytes);
  void onTick(MilliTime now);

  /// \returns the report of the last span, if it is over and worth a line.
  std::optional<TrafficReport> takeReport(MilliTime now);

  const TrafficBytes& sent() const { return this->totals.sent; }
  const TrafficBytes& received() const { return this->totals.received; }

private:
  static constexpr MilliDuration kReportPeriod{ 1000 };
  /// \brief A link that carries this share of what it can, either way, is busy.
  static constexpr double kBusyShare = 0.25;
  static constexpr MilliDuration kLongTickGap{ 250 };

  LinkMeter link;
  TrafficReport totals;
  TrafficReport reported; ///< the totals when the last span ended
  MilliTime spanSince{};
  MilliTime tickedAt{};

  bool isNotable(const TrafficReport& report) const;
};

}

#endif
