#ifndef BUCKTHORNWING_TRAFFIC_METER_H
#define BUCKTHORNWING_TRAFFIC_METER_H

#include "../Core/LinkBacklogEstimator.h"
#include "../Fleet/FleetMessage.h"

#include <array>
#include <cstdint>
#include <optional>

namespace buckthornwing {

/// \brief Purpose of the bytes on an instance's network link.
enum class TrafficKind : std::uint8_t
{
  packets, ///< callers' packets and the resets sent to callers
  heartbeats,
  viewRequests,
  viewParts,
  memberRequests,
  storeAnswers, ///< responses of the platform's metadata store
};

inline constexpr std::size_t kTrafficKindCount = 6;

/// \returns the lower-case name used in logs and metrics.
const char*
trafficKindName(TrafficKind kind);

/// \returns the kind of a message between instances.
TrafficKind
trafficKindOf(const FleetMessage& message);

/// \brief Byte counts, indexed by TrafficKind.
using TrafficBytes = std::array<std::uint64_t, kTrafficKindCount>;

/// \brief Traffic on an instance's link during a time span.
struct TrafficReport
{
  MilliDuration span{};
  TrafficBytes sent{};
  TrafficBytes received{};
  MilliDuration maxBacklog{}; ///< longest estimated send backlog of the link
  MilliDuration maxTickGap{}; ///< longest time between consecutive ticks
};

/// \brief Counts the bytes on an instance's link by kind, and reports time
/// spans in which the link was busy or the process was stalled.
class TrafficMeter
{
public:
  /// \param linkMegabits capacity of the link in Mbit/s in each direction; 0 if
  /// unknown, then the link never counts as busy
  explicit TrafficMeter(double linkMegabits)
    : link(linkMegabits)
  {
  }

  void onSent(TrafficKind kind, std::size_t bytes, MilliTime now);
  void onReceived(TrafficKind kind, std::size_t bytes);
  void onTick(MilliTime now);

  /// \brief Ends the current span and begins the next one, if the report period
  /// is over.
  /// \returns the report of the ended span if the link was busy or a tick was
  /// late in it; otherwise nothing.
  std::optional<TrafficReport> takeReport(MilliTime now);

  const TrafficBytes& sent() const { return this->totals.sent; }
  const TrafficBytes& received() const { return this->totals.received; }

private:
  static constexpr MilliDuration kReportPeriod{ 1000 };
  /// \brief Share of the link's capacity, in either direction, above which it
  /// counts as busy.
  static constexpr double kBusyShare = 0.25;
  /// \brief Time between ticks above which the process counts as stalled.
  static constexpr MilliDuration kStallThreshold{ 250 };

  LinkBacklogEstimator link;
  TrafficReport totals;
  TrafficReport spanStartTotals; ///< totals at the start of the current span
  MilliTime spanStartedAt{};
  MilliTime lastTickAt{};

  bool isNotable(const TrafficReport& report) const;
};

}

#endif
