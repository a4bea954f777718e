#ifndef BUCKTHORNWING_SERVICE_H
#define BUCKTHORNWING_SERVICE_H

#include "../Config/Configuration.h"
#include "../Config/LookupTable.h"
#include "../Core/TokenBucket.h"
#include "Target.h"

#include <cstdint>
#include <vector>

namespace buckthornwing {

/// \brief Position of a service on one instance's blackboard.
using ServiceIndex = std::uint16_t;

inline constexpr ServiceIndex kNoServiceIndex = 0xffff;

/// \brief Why flows of a bucket may be away from their table target.
///
/// While any flag stands, an instance that does not know a flow of the bucket
/// asks the flow's owner; without one it follows the table.
namespace bucket_flag {
/// The owner always places this bucket's flows by load.
inline constexpr std::uint8_t kFlexible = 1;
/// The adopted revision moved it, and peers may not have that revision yet.
inline constexpr std::uint8_t kPending = 2;
/// A revision moved it, and its owner has not settled it since.
inline constexpr std::uint8_t kMoved = 4;
/// Its owner places elsewhere, because the table target can't take flows.
inline constexpr std::uint8_t kDiverted = 8;
/// This instance is new, and no owner has told it that the bucket is settled.
inline constexpr std::uint8_t kUnvouched = 16;
}

/// \brief A target whose buckets this instance diverts.
struct Diversion
{
  TargetIndex target = kNoTargetIndex;
  MilliTime since{};
  MilliTime availableSince{ -1 }; ///< the target could take flows since then
};

/// \brief Per-service counts since the start, for status and metrics.
struct ServiceCounters
{
  std::uint64_t placed = 0;
  std::uint64_t placedByLoad = 0;
  std::uint64_t refused = 0;
  std::uint64_t dropped = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t relayed = 0;
};

/// \brief A service as this instance sees it.
struct Service
{
  ServiceConfig config;
  std::uint32_t tag = 0;
  bool published = false;
  bool selectorHeldBack = false;     ///< the published selector is no selector
  std::vector<TargetIndex> selected; ///< draining targets among them
  std::vector<TargetIndex> serving;
  std::vector<TargetIndex> table;  ///< of the adopted revision
  std::vector<TargetIndex> base;   ///< what flagged buckets had before
  std::vector<std::uint8_t> flags; ///< bucket_flag bits, one a bucket
  /// Whether any bucket may have a flag besides kFlexible.
  bool mayHaveFlags = true;
  MilliTime movedSince{}; ///< first change that is not settled yet
  std::vector<Diversion> diversions;
  TokenBucket newFlows;
  TokenBucket relays;
  std::uint32_t ownFlows = 0;
  std::uint32_t peerFlows = 0;
  ServiceCounters counters;

  BucketIndex bucketCount() const
  {
    return static_cast<BucketIndex>(this->table.size());
  }

  /// \returns the target that the table before the last change gave.
  TargetIndex baseTarget(FlowId flow) const
  {
    if (this->base.empty()) {
      return kNoTargetIndex;
    }
    return this->base[bucketOf(flow, this->base.size())];
  }
};

}

#endif
