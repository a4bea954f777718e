#include "Decision.h"

#include <array>

namespace buckthornwing {

std::string_view
reasonName(Reason reason)
{
  constexpr std::array<std::string_view, kReasonCount> kNames{
    "none",
    "truncated",
    "bad_version",
    "bad_header",
    "bad_checksum",
    "fragment",
    "unsupported_protocol",
    "unknown_destination",
    "no_target",
    "in_doubt",
    "view_suspect",
    "no_owner",
    "hop_limit",
    "relay_limited",
    "rate_limited",
    "flow_limited",
    "target_gone",
    "diverting",
    "recently_closed",
  };
  return kNames[static_cast<std::size_t>(reason)];
}

std::string_view
outcomeName(Outcome outcome)
{
  constexpr std::array<std::string_view, 4> kNames{
    "forward", "relay", "refuse", "drop"
  };
  return kNames[static_cast<std::size_t>(outcome)];
}

}
