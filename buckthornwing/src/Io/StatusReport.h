#ifndef BUCKTHORNWING_STATUS_REPORT_H
#define BUCKTHORNWING_STATUS_REPORT_H

#include "../Engine/Engine.h"

#include <cstdint>
#include <string>

namespace buckthornwing {

/// \brief What the host counts besides the engine.
struct HostCounters
{
  std::uint64_t controlBytesSent = 0;
  std::uint64_t controlMessagesSent = 0;
  std::uint64_t relayBytesSent = 0;
  std::array<std::uint64_t, 8> peerFaults{}; ///< by PeerFault
  std::uint64_t sendsLost = 0;
  std::uint64_t logLinesLost = 0;
  std::uint64_t configurationCalls = 0;
  std::uint64_t configurationFailures = 0;
  double tickMeanMicroseconds = 0;
  double tickMostMicroseconds = 0;
};

/// \returns the JSON document that /status serves.
std::string
formatStatus(const Engine& engine, const HostCounters& host, MilliTime now);

}

#endif
