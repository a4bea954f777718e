#include "FleetMembers.h"

#include "../Core/Hash.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief A member silent for so long is forgotten; it will say so itself if
/// it is back.
constexpr MilliDuration kForgetAfter{ 20000 };
constexpr std::size_t kMostMembers = 4096;

}

KnownMember*
FleetMembers::hear(const FleetMember& sender, MilliTime now)
{
  if (sender.address == this->self.address) {
    return nullptr;
  }
  if (this->members.size() >= internal::kMostMembers &&
      !this->members.contains(sender.address)) {
    return nullptr;
  }
  KnownMember& known = this->members[sender.address];
  if (known.member.incarnation != sender.incarnation) {
    known.reports.clear();
    known.view = ViewVersions{};
  }
  known.member = sender;
  known.heardAt = now;
  return &known;
}

void
FleetMembers::hearOf(const GossipedMember& gossip, MilliTime now)
{
  const FleetMember& member = gossip.member;
  const MilliTime heardAt{ now.ms - gossip.heardAgo.ms };
  if (member.address == this->self.address ||
      now - heardAt > internal::kForgetAfter) {
    return;
  }
  const auto found = this->members.find(member.address);
  if (found == this->members.end()) {
    if (this->members.size() < internal::kMostMembers) {
      KnownMember& known = this->members[member.address];
      known.member = member;
      known.heardAt = heardAt;
    }
    return;
  }
  KnownMember& known = found->second;
  if (heardAt > known.heardAt) {
    known.heardAt = heardAt;
    known.member = member;
  }
}

void
FleetMembers::forgetSilent(MilliTime now)
{
  std::erase_if(this->members, [now](const auto& entry) {
    return now - entry.second.heardAt > internal::kForgetAfter;
  });
}

std::vector<MemberChange>
FleetMembers::takeChanges(MilliTime now)
{
  std::vector<MemberChange> changes;
  for (auto& [address, known] : this->members) {
    const bool live = this->isLive(known, now);
    if (live != known.wasLive) {
      known.wasLive = live;
      changes.push_back({ known.member, live });
    }
  }
  return changes;
}

bool
FleetMembers::isLive(const KnownMember& member, MilliTime now) const
{
  return now - member.heardAt <= kLostAfter;
}

std::vector<const KnownMember*>
FleetMembers::sample(bool ownZone, std::size_t count, Random& random) const
{
  std::vector<const KnownMember*> chosen;
  for (const auto& [address, known] : this->members) {
    if ((known.member.zone == this->self.zone) == ownZone) {
      chosen.push_back(&known);
    }
  }
  for (std::size_t i = 0; i < chosen.size() && i < count; ++i) {
    const std::size_t other = i + random.below(chosen.size() - i);
    std::swap(chosen[i], chosen[other]);
  }
  chosen.resize(std::min(count, chosen.size()));
  return chosen;
}

std::size_t
FleetMembers::rankInZone(MilliTime now) const
{
  const std::uint64_t own = hashText(this->self.id);
  std::size_t rank = 0;
  for (const auto& [address, known] : this->members) {
    const bool isPeer = known.member.zone == this->self.zone &&
                        !known.member.stopping && this->isLive(known, now);
    rank += isPeer && hashText(known.member.id) < own ? 1 : 0;
  }
  return rank;
}

std::vector<const KnownMember*>
FleetMembers::oneInEachOtherZone(MilliTime now, Random& random) const
{
  std::map<std::string_view, std::vector<const KnownMember*>> byZone;
  for (const auto& [address, known] : this->members) {
    if (known.member.zone != this->self.zone && this->isLive(known, now)) {
      byZone[known.member.zone].push_back(&known);
    }
  }
  std::vector<const KnownMember*> chosen;
  chosen.reserve(byZone.size());
  for (const auto& [zone, peers] : byZone) {
    chosen.push_back(peers[random.below(peers.size())]);
  }
  return chosen;
}

std::size_t
FleetMembers::liveCount(MilliTime now) const
{
  return static_cast<std::size_t>(std::count_if(
    this->members.begin(), this->members.end(), [&](const auto& entry) {
      return this->isLive(entry.second, now);
    }));
}

std::size_t
FleetMembers::liveInZone(MilliTime now) const
{
  return static_cast<std::size_t>(std::count_if(
    this->members.begin(), this->members.end(), [&](const auto& entry) {
      return entry.second.member.zone == this->self.zone &&
             this->isLive(entry.second, now);
    }));
}

}
