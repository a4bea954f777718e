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
  noTarget,           ///< the service has no target that serves
  inDoubt,            ///< more than one target may have the flow
  viewSuspect,        ///< this instance's view may be old
  noOwner,            ///< no instance is left to ask
  hopLimit,
  relayLimited,   ///< the service's share of relays is used up
  rateLimited,    ///< the service's new flows a second
  flowLimited,    ///< the service's open flows
  targetGone,     ///< the flow's target left the configuration
  diverting,      ///< peers are being told that the table target is out
  recentlyClosed, ///< the flow's key was in use moments ago
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
  TargetIndex target = kNoTargetIndex; ///< of forward
  MemberIndex peer = kNoMember;        ///< of relay
  bool placed = false;                 ///< this packet opened a flow here
  std::vector<MemberTag> tried;        ///< goes with a relayed packet
};

}

#endif
