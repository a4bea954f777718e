#ifndef BUCKTHORNWING_SERVICE_H
#define BUCKTHORNWING_SERVICE_H

#include "../Config/Configuration.h"
#include "../Config/LookupTable.h"
#include "../Core/TokenBucket.h"
#include "Target.h"

#include <cstdint>
#include <vector>

namespace buckthornwing {

/// \brief Index of a service on one instance's blackboard.
using ServiceIndex = std::uint16_t;

inline constexpr ServiceIndex kNoServiceIndex = 0xffff;

/// \brief Flags of a bucket: reasons why some of its flows may be away from
/// their table target.
///
/// If a bucket has any flag, packets of its unknown flows are relayed to the
/// flow's owner; otherwise they are forwarded by the table.
namespace bucket_flag {
/// The owner always places this bucket's flows by load.
inline constexpr std::uint8_t kFlexible = 1;
/// The adopted revision moved the bucket, and peers may not have it yet.
inline constexpr std::uint8_t kPending = 2;
/// A revision moved the bucket, and its owner has not settled it since.
inline constexpr std::uint8_t kMovedByRevision = 4;
/// The owner places the bucket's flows by load, because the table target can't
/// take flows; or, after a partition, the other side may have placed flows.
/// Also set if a peer announced the bucket as flagged, or if the announcement
/// of its previous owner is missing.
inline constexpr std::uint8_t kDiverted = 8;
/// This instance is new and has no announcement of the bucket's owner yet.
inline constexpr std::uint8_t kUnverified = 16;
}

/// \brief A target that can't take flows, and whose buckets are therefore
/// placed by load by this instance.
struct Diversion
{
  TargetIndex target = kNoTargetIndex;
  MilliTime since{};
  MilliTime availableSince{ -1 }; ///< negative while it is not available
};

/// \brief Counts of one service since the start, for status and metrics.
struct ServiceCounters
{
  std::uint64_t placed = 0;
  std::uint64_t placedByLoad = 0;
  std::uint64_t refused = 0;
  std::uint64_t dropped = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t relayed = 0;
};

/// \brief State of a service, as known to this instance.
struct Service
{
  ServiceConfig config;
  std::uint32_t tag = 0;
  bool published = false; ///< is in the adopted configuration
  /// The published selector is invalid, so the last valid one is used.
  bool selectorInvalid = false;
  std::vector<TargetIndex> selected; ///< including draining targets
  std::vector<TargetIndex> serving;
  std::vector<TargetIndex> table; ///< of the adopted revision
  /// For each bucket, its target before the first change not settled yet.
  std::vector<TargetIndex> previousTable;
  std::vector<std::uint8_t> flags; ///< bucket_flag bits, by BucketIndex
  /// Whether any bucket may have a flag besides kFlexible.
  bool mayHaveFlags = true;
  MilliTime unsettledSince{}; ///< time of the first change not settled yet
  std::vector<Diversion> diversions;
  TokenBucket newFlows;        ///< limits new flows per second
  TokenBucket relays;          ///< limits relayed openings per second
  std::uint32_t ownFlows = 0;  ///< open flows that this instance owns
  std::uint32_t peerFlows = 0; ///< estimated open flows of peers
  ServiceCounters counters;

  BucketIndex bucketCount() const
  {
    return static_cast<BucketIndex>(this->table.size());
  }

  /// \returns the flow's target in previousTable, or kNoTargetIndex.
  TargetIndex previousTarget(FlowId flow) const
  {
    if (this->previousTable.empty()) {
      return kNoTargetIndex;
    }
    return this->previousTable[bucketOf(flow, this->previousTable.size())];
  }
};

}

#endif
