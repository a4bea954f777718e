#ifndef BUCKTHORNWING_DECISION_H
#define BUCKTHORNWING_DECISION_H

#include "Member.h"
#include "Target.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace buckthornwing {

/// \brief What happens to a packet; each packet has exactly one outcome.
enum class Outcome : std::uint8_t
{
  forward, ///< to a target
  relay,   ///< to another instance
  refuse,  ///< answered with a TCP reset or ICMP port unreachable
  drop,
};

/// \brief Why a packet was dropped or refused.
enum class Reason : std::uint8_t
{
  none,
  truncated,
  badVersion,
  badHeader,
  badChecksum,
  fragment,
  unsupportedProtocol,
  unknownDestination, ///< no service has this address and port
  noTarget,           ///< no target of the service is available
  /// The flow's target can't be determined: no reachable owner is left to ask,
  /// or its target is unknown.
  inDoubt,
  viewSuspect,    ///< this instance does not trust its view
  noOwner,        ///< no owner that can place the opening is left
  hopLimit,       ///< the packet was relayed too often
  relayLimited,   ///< the service's limit on relayed openings
  rateLimited,    ///< the service's limit on new flows per second
  flowLimited,    ///< the service's limit on open flows
  targetGone,     ///< the flow's target left the configuration
  diverting,      ///< a diversion is not in effect yet
  recentlyClosed, ///< an earlier flow with the key has just ended
};

inline constexpr std::size_t kReasonCount =
  static_cast<std::size_t>(Reason::recentlyClosed) + 1;

/// \returns a stable lower-case name for logs and metrics.
std::string_view
reasonName(Reason reason);

/// \returns a stable lower-case name for logs and metrics.
std::string_view
outcomeName(Outcome outcome);

/// \brief The outcome for one packet.
struct Decision
{
  Outcome outcome = Outcome::drop;
  Reason reason = Reason::none;
  TargetIndex target = kNoTargetIndex; ///< if forwarded
  MemberIndex peer = kNoMember;        ///< if relayed
  bool placed = false; ///< the packet was a flow's opening, placed here
  std::vector<MemberTag> tried; ///< if relayed: instances that had the packet
};

}

#endif
