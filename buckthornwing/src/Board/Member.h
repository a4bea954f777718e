#ifndef BUCKTHORNWING_MEMBER_H
#define BUCKTHORNWING_MEMBER_H

#include "../Core/MilliTime.h"
#include "../Peer/PeerMessage.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Position of an instance on the blackboard; this one is kSelf.
using MemberIndex = std::uint16_t;

inline constexpr MemberIndex kSelf = 0;
inline constexpr MemberIndex kNoMember = 0xffff;

/// \brief Version of BucketStates that no instance ever announces.
inline constexpr std::uint32_t kNoStatesVersion = 0xffffffff;

/// \brief An instance as this one sees it.
struct Member
{
  std::string id;
  std::string zone;
  Endpoint address;
  MemberTag tag = 0;
  Liveness liveness = Liveness::unknown;
  Phase phase = Phase::joining;
  std::uint32_t incarnation = 0;
  std::uint64_t revision = 0;
  std::uint32_t statesVersion = 0;
  std::uint32_t statesSeen = kNoStatesVersion;
  MilliTime lastHeard{ -1 };
  MilliTime suspectedAt{};
  MilliTime statesAskedAt{ -1 };
  bool awaySent = false; ///< it was sent this instance's away flows

  bool reachable() const
  {
    return this->phase != Phase::stopped &&
           (this->liveness == Liveness::alive ||
            this->liveness == Liveness::suspect);
  }

  bool owner() const { return this->reachable() && this->phase == Phase::live; }
};

}

#endif
