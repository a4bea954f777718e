#include "ZoneSums.h"

namespace buckthornwing {
namespace internal {

/// \brief Time after which a sum is discarded. In a large fleet, a sum of a
/// given zone and target arrives every 2 s on average.
constexpr MilliDuration kSumLifetime{ 5000 };

}

void
ZoneSums::record(const std::string& zone,
                 const TargetReport& report,
                 MilliTime now)
{
  if (!report.totalFlows || !report.totalBusy) {
    return;
  }
  this->zones[zone][report.target] = {
    static_cast<double>(*report.totalFlows),
    static_cast<double>(*report.totalBusy),
    now,
  };
}

void
ZoneSums::expire(MilliTime now)
{
  for (auto& [zone, targets] : this->zones) {
    boost::unordered::erase_if(targets, [now](const auto& entry) {
      return now - entry.second.at > internal::kSumLifetime;
    });
  }
  boost::unordered::erase_if(
    this->zones, [](const auto& entry) { return entry.second.empty(); });
}

bool
ZoneSums::contains(const std::string& zone, ShortTargetKey target) const
{
  const auto found = this->zones.find(zone);
  return found != this->zones.end() && found->second.contains(target);
}

}
