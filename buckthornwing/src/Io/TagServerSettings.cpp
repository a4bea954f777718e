#include "TagServerSettings.h"

#include "../Core/Hash.h"
#include "SettingsText.h"

#include <boost/json.hpp>
#include <cmath>

namespace buckthornwing {
namespace internal {

constexpr double kMaxStopSeconds = 1'000'000;
constexpr double kMsPerSecond = 1000;
constexpr double kMaxLinkMegabits = 1'000'000;
constexpr double kMaxCores = 1000;
constexpr double kMaxWarmupOverage = 1000;
constexpr double kMaxWarmupSlack = 1'000'000;
constexpr double kMaxHeartbeatMs = 10'000'000;
/// \brief Missed heartbeats after which the store removes a registration.
constexpr double kHeartbeatsPerLifetime = 3;
/// \brief Time until the removal of a registration is known here.
constexpr MilliDuration kRemovalDelay{ 1000 };
/// \brief Hash seed that separates the tag secret from other values derived
/// from the fleet key.
constexpr std::uint64_t kTagSecretDomain = 0x7461670000000001ULL;

/// \returns the policy with the parts disabled that the setting "without"
/// names. Unknown names are reported to the reader.
TagPolicySettings
parsePolicy(JsonReader& reader)
{
  TagPolicySettings policy;
  const boost::json::array* names = reader.array("without", false);
  for (std::size_t i = 0; names != nullptr && i < names->size(); ++i) {
    const boost::json::string* name = (*names)[i].if_string();
    if (name == nullptr || !disablePolicyPart(policy, *name)) {
      reader.report("without", "expected names of policy parts");
    }
  }
  return policy;
}

TagServerSettings
parseTagFields(JsonReader& reader, Problems& problems)
{
  TagServerSettings settings;
  settings.tag.id = reader.text("id");
  settings.tag.zone = reader.text("zone");
  settings.tag.peerAddress = reader.endpoint("peer_address");
  settings.tag.advertisedAddress =
    reader.field("peer_advertised_address", false) == nullptr
      ? settings.tag.peerAddress
      : reader.endpoint("peer_advertised_address");
  settings.packetAddress = reader.endpoint("packet_address");
  settings.readyAddress = reader.endpoint("ready_address");
  settings.operatorsAddress = reader.endpoint("operators_address");
  settings.store = reader.endpoint("store");
  settings.fleetKey = parseFleetKey(reader);
  settings.tag.tagSecret = hashText(settings.fleetKey, kTagSecretDomain);
  settings.stopTimeout.ms =
    std::llround(kMsPerSecond *
                 reader.decimalOrFlag("stop_within_s", 0, kMaxStopSeconds, 6));
  const double heartbeatMs =
    reader.decimalOrFlag("registration_heartbeat_ms", 0, kMaxHeartbeatMs, 2000);
  settings.tag.registrationLifetime.ms =
    std::llround(kHeartbeatsPerLifetime * heartbeatMs) + kRemovalDelay.ms;
  settings.logLevel = static_cast<TagLogLevel>(
    reader.choice("log_level", { "changes", "decisions", "packets" }, 1));
  settings.tag.seeds = parseSeeds(reader, problems);
  settings.tag.linkMegabits =
    reader.decimalOrFlag("link_mbps", 0, kMaxLinkMegabits, 0);
  settings.tag.cpuShare = reader.decimalOrFlag("cpu_share", 0, kMaxCores, 0);
  settings.tag.warmupOverage =
    reader.decimalOrFlag("warmup_overage", 0, kMaxWarmupOverage, 1);
  settings.tag.warmupSlack =
    reader.decimalOrFlag("warmup_slack", 0, kMaxWarmupSlack, 0);
  settings.tag.isFirstStart = reader.flag("first_start", false);
  settings.tag.policy = parsePolicy(reader);
  return settings;
}

}

boost::leaf::result<TagServerSettings>
parseTagServerSettings(std::string_view text, const std::string& fileName)
{
  return internal::parseSettingsText<TagServerSettings>(
    text, fileName, internal::parseTagFields);
}

}
