#include "SlowStartLimiter.h"

namespace buckthornwing {

void
SlowStartLimiter::update(const ActiveMembers& members,
                         std::span<const ColdTarget> targets,
                         MilliTime now)
{
  if (!this->watch.isCurrent(now)) {
    // The other instances may have taken over the shares in the meantime.
    for (auto& [key, entry] : this->limited) {
      entry.share = HeldShare{};
    }
  }
  this->watch.update(members, now);
  for (auto& [key, entry] : this->limited) {
    entry.isListed = false;
  }
  for (const ColdTarget& target : targets) {
    this->updateShare(this->limited[target.key], target, now);
  }
  // A target that comes back within a second is still limited by what was
  // placed on it.
  std::erase_if(this->limited, [now](const auto& each) {
    return !each.second.isListed && each.second.requests.count(now) == 0;
  });
}

void
SlowStartLimiter::updateShare(LimitedTarget& entry,
                              const ColdTarget& target,
                              MilliTime now)
{
  const bool isNew = !entry.version;
  const bool isSame =
    entry.version == this->watch.version() && entry.target == target;
  if (!isSame) {
    entry.target = target;
    entry.version = this->watch.version();
    entry.computed = slowStartShare(this->watch.members(), target);
  }
  entry.isListed = true;
  const std::uint32_t share = this->watch.seesEnough() ? entry.computed : 0;
  const MilliTime since = isNew ? this->watch.unchangedSince() : now;
  entry.share.update(share, since, now);
}

bool
SlowStartLimiter::mayPlace(TargetKey target, MilliTime now) const
{
  const auto found = this->limited.find(target);
  if (found == this->limited.end() || !this->watch.isCurrent(now)) {
    return false;
  }
  const LimitedTarget& entry = found->second;
  return entry.isListed && entry.requests.count(now) < entry.share.value();
}

void
SlowStartLimiter::recordRequest(TargetKey target, MilliTime now)
{
  const auto found = this->limited.find(target);
  if (found != this->limited.end()) {
    found->second.requests.add(now);
  }
}

}
