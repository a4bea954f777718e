#ifndef BUCKTHORNWING_TAG_REPORT_H
#define BUCKTHORNWING_TAG_REPORT_H

#include "../Steering/TagBoard.h"
#include "TrafficMeter.h"

#include <array>
#include <string>

namespace buckthornwing {

/// \brief Counters of what happens outside the engine.
struct TagHostCounters
{
  std::uint64_t packets = 0;
  std::array<std::uint64_t, kPacketFaultCount> faults{};
  std::uint64_t notHeld = 0;   ///< packets dropped because too many wait
  std::uint64_t sendsLost = 0; ///< datagrams that the kernel did not take
  std::array<std::uint64_t, 8> peerFaults{}; ///< by PeerFault
  TrafficBytes bytesSent{};
  TrafficBytes bytesReceived{};
  std::uint64_t storeCalls = 0;
  std::uint64_t storeFailures = 0;
  LatencyHistogram storeListings; ///< from the call to the whole list
  std::uint64_t logLinesLost = 0;
};

/// \returns the text that /metrics serves, in the Prometheus text format.
std::string
formatTagMetrics(const TagBoard& board,
                 const TagHostCounters& host,
                 MilliTime now);

/// \returns the JSON document that /status serves.
std::string
formatTagStatus(const TagBoard& board,
                const TagHostCounters& host,
                MilliTime now);

}

#endif
