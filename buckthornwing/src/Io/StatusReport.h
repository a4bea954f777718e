#ifndef BUCKTHORNWING_STATUS_REPORT_H
#define BUCKTHORNWING_STATUS_REPORT_H

#include "../Engine/Engine.h"

#include <cstdint>
#include <string>

namespace buckthornwing {

/// \brief Counters that the entry daemon keeps outside the engine.
struct HostCounters
{
  std::uint64_t controlBytesSent = 0; ///< to peers, without relayed packets
  std::uint64_t controlMessagesSent = 0;
  std::uint64_t relayBytesSent = 0;
  std::array<std::uint64_t, 8> peerFaults{}; ///< indexed by PeerFault
  std::uint64_t sendsLost = 0; ///< datagrams that the kernel did not accept
  std::uint64_t logLinesLost = 0;
  std::uint64_t configurationCalls = 0;
  std::uint64_t configurationFailures = 0;
  double tickMeanMicroseconds = 0;
  double tickMaxMicroseconds = 0;
};

/// \returns the body of /status, a JSON object.
std::string
formatStatus(const Engine& engine, const HostCounters& host, MilliTime now);

}

#endif
