#include "Event.h"

#include <array>

namespace buckthornwing {

std::string_view
eventName(EventKind kind)
{
  constexpr std::array<std::string_view, 12> kNames{
    "placement",
    "refusal",
    "drop",
    "member",
    "owners",
    "configuration",
    "configuration_problem",
    "committed",
    "diversion",
    "settled",
    "lifecycle",
    "transfer",
  };
  return kNames[static_cast<std::size_t>(kind)];
}

}
