#ifndef BUCKTHORNWING_FLOW_SAMPLE_H
#define BUCKTHORNWING_FLOW_SAMPLE_H

#include "../Core/FlowKey.h"
#include "../Core/Hash.h"
#include "../Core/Random.h"

#include <cstdint>

namespace buckthornwing {

/// \returns a number in [0, 1) that depends on the flow and the salt alone, so
/// that all instances decide alike for a flow.
/// \param salt different for each decision, so that decisions are independent
inline double
sampleOf(FlowId flow, std::uint64_t salt)
{
  return Random{ mixWords(flow.bits, salt) }.unit();
}

}

#endif
