#ifndef BUCKTHORNWING_TAG_REPORT_H
#define BUCKTHORNWING_TAG_REPORT_H

#include "../Steering/TagBlackboard.h"
#include "TrafficMeter.h"

#include <array>
#include <optional>
#include <string>

namespace buckthornwing {

/// \brief Counters that the TagServer keeps outside the engine.
struct TagHostCounters
{
  std::uint64_t packets = 0;
  /// Datagrams that are no packet, indexed by PacketFault.
  std::array<std::uint64_t, kPacketFaultCount> faults{};
  /// Packets dropped because too many are held or holding is disabled.
  std::uint64_t packetsNotHeld = 0;
  std::uint64_t sendsLost = 0; ///< datagrams that the kernel did not accept
  std::array<std::uint64_t, 8> peerFaults{}; ///< indexed by PeerFault
  TrafficBytes bytesSent{};
  TrafficBytes bytesReceived{};
  std::uint64_t storeCalls = 0;
  std::uint64_t storeFailures = 0;
  LatencyHistogram storeListings; ///< from the request to the complete list
  std::uint64_t logLinesLost = 0;
  /// Problems of the settings file when it was last read by a reload; nothing
  /// if it was accepted.
  std::optional<std::string> refusedSettings;
};

/// \returns the body of /metrics in the Prometheus text format.
std::string
formatTagMetrics(const TagBlackboard& board,
                 const TagHostCounters& host,
                 MilliTime now);

/// \returns the body of /status, a JSON object.
std::string
formatTagStatus(const TagBlackboard& board,
                const TagHostCounters& host,
                MilliTime now);

}

#endif
