#ifndef BUCKTHORNWING_MEMBER_H
#define BUCKTHORNWING_MEMBER_H

#include "../Core/MilliTime.h"
#include "../Peer/PeerMessage.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Index of an instance on the blackboard; this instance is kSelf.
using MemberIndex = std::uint16_t;

inline constexpr MemberIndex kSelf = 0;
inline constexpr MemberIndex kNoMember = 0xffff;

/// \brief Version of BucketStates that is never announced.
inline constexpr std::uint32_t kNoStatesVersion = 0xffffffff;

/// \brief State of an instance, as known to this instance. Negative times mean
/// never.
struct Member
{
  std::string id;
  std::string zone;
  Endpoint address;
  MemberTag tag = 0;
  Liveness liveness = Liveness::unknown;
  Phase phase = Phase::joining;
  std::uint32_t incarnation = 0;
  std::uint64_t revision = 0;                     ///< adopted by the member
  std::uint32_t statesVersion = 0;                ///< last announcement sent
  std::uint32_t statesApplied = kNoStatesVersion; ///< last one applied here
  MilliTime lastHeard{ -1 };
  MilliTime suspectedAt{};
  MilliTime statesAskedAt{ -1 };
  /// It was sent the records of this instance's flows that are away from their
  /// table target.
  bool awayRecordsSent = false;

  /// \returns whether messages are sent to the member; a suspected one is
  /// still reachable.
  bool reachable() const
  {
    return this->phase != Phase::stopped &&
           (this->liveness == Liveness::alive ||
            this->liveness == Liveness::suspect);
  }

  /// \returns whether the member may own slots.
  bool owner() const { return this->reachable() && this->phase == Phase::live; }
};

}

#endif
