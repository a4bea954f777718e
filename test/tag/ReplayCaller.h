#ifndef BUCKTHORNWING_TEST_REPLAY_CALLER_H
#define BUCKTHORNWING_TEST_REPLAY_CALLER_H

#include <Core>
#include <Tagging>

#include <cstddef>
#include <cstdint>

namespace buckthornwing::test {

/// \brief Simulated caller with its flow and its current request.
struct Caller
{
  bool hasFlow = false;
  FlowKey flow;
  FlowTag tag;
  std::uint32_t sequence = 1001;
  std::uint32_t acknowledged = 1;
  bool delivered = false;    ///< the target has received the request
  std::uint64_t attempt = 0; ///< number of the current attempt
  MilliTime requestedAt{};   ///< start of the current request
  bool hasRequest = false;   ///< a request is neither answered nor failed
  int refusals = 0;          ///< of the current request
  std::size_t zone = 0;
  bool isUrgent = true;         ///< its route has priority 1
  bool isOfBurst = false;       ///< asks during the burst only
  bool opensPerRequest = false; ///< opens a new flow for each request
};

}

#endif
