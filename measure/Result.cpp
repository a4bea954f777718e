#include "Result.h"

#include <iomanip>
#include <sstream>

namespace buckthornwing::measure {

std::string
formatResult(const Result& result)
{
  std::ostringstream line;
  line << std::fixed << R"({"scenario":")" << result.scenario << '"';
  if (!result.caseName.empty()) {
    line << R"(,"case":")" << result.caseName << '"';
  }
  line << R"(,"deployment":")" << result.deployment << R"(","policy":")"
       << result.policy << R"(","seed":)" << result.seed << R"(,"flows":)"
       << result.flows << R"(,"open_flows":)" << result.openFlows
       << R"(,"broken":)" << result.broken << R"(,"unreachable":)"
       << result.unreachable << R"(,"misdelivered":)" << result.misdelivered
       << R"(,"ran_twice":)" << result.ranTwice << R"(,"false_refusals":)"
       << result.falseRefusals << R"(,"refused":)" << result.refused
       << R"(,"late_placements":)" << result.latePlacements
       << R"(,"slow_openings":)" << result.slowOpenings << std::setprecision(3)
       << R"(,"imbalance":)" << result.imbalance << R"(,"relay_share":)"
       << result.relayShare << R"(,"cross_zone_relay_share":)"
       << result.crossZoneRelayShare << std::setprecision(0)
       << R"(,"control_bytes_per_second":)" << result.controlBytesPerSecond
       << R"(,"config_lag_ms":)" << result.configLagMs << '}';
  return line.str();
}

std::string
formatDetails(const Result& result)
{
  constexpr std::array<const char*, std::variant_size_v<PeerBody>> kKinds{
    "probe",
    "relay",
    "flow_batch",
    "acknowledgement",
    "bucket_states",
    "states_request",
    "transfer",
    "load_summary",
    "configuration_request",
    "configuration_part"
  };
  std::ostringstream text;
  text << "  control bytes:";
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    text << ' ' << kKinds[i] << '=' << result.bytesByKind[i];
  }
  for (const bool opening : { true, false }) {
    text << "\n  drops of " << (opening ? "openings:" : "other packets:");
    const auto& drops = opening ? result.openingDrops : result.otherDrops;
    for (std::size_t i = 0; i < drops.size(); ++i) {
      if (drops[i] != 0) {
        text << ' ' << reasonName(static_cast<Reason>(i)) << '=' << drops[i];
      }
    }
  }
  return text.str();
}

}
