#ifndef BUCKTHORNWING_TEST_REPLAY_CALLER_H
#define BUCKTHORNWING_TEST_REPLAY_CALLER_H

#include <Core>
#include <Tagging>

#include <cstddef>
#include <cstdint>

namespace buckthornwing::test {

/// \brief A caller with its flow and its present request.
struct Caller
{
  bool hasFlow = false;
  FlowKey flow;
  FlowTag tag;
  std::uint32_t sequence = 1001;
  std::uint32_t acknowledged = 1;
  bool delivered = false;       ///< the target has the request
  std::uint64_t generation = 0; ///< of the present try
  MilliTime askedAt{};
  bool isAsking = false;
  int sheds = 0; ///< of the present request
  std::size_t zone = 0;
  bool opensForEach = false; ///< a flow for each request
};

}

#endif
