#include "FleetMembers.h"

#include "../Core/Hash.h"

#include <algorithm>
#include <functional>

namespace buckthornwing {
namespace internal {

/// \brief Time without a message after which a member is removed. If it
/// returns, its own messages add it again.
constexpr MilliDuration kForgetAfter{ 20000 };
constexpr std::size_t kMaxMembers = 4096;
/// \brief Time during which a changed member is preferred in gossip.
constexpr MilliDuration kRecentChangePeriod{ 5000 };

/// \brief Number of members among which a starting member chooses the one that
/// it requests a view from. With several, none gets all requests, and a dead
/// one rarely delays a view for long.
constexpr std::size_t kViewSources = 4;
/// \brief Number of members of a zone among which the receiver of a change is
/// chosen, so that one which died unnoticed is not chosen each time.
constexpr std::size_t kReceivers = 2;

MemberOrder
orderOf(const FleetMember& member)
{
  return { member.capacityClass, hashText(member.id) };
}

/// \brief Reduces a list to up to \a count randomly chosen members.
void
keepRandomSubset(std::vector<const KnownMember*>& members,
                 std::size_t count,
                 Random& random)
{
  for (std::size_t i = 0; i < members.size() && i < count; ++i) {
    const std::size_t other = i + random.below(members.size() - i);
    std::swap(members[i], members[other]);
  }
  members.resize(std::min(count, members.size()));
}

/// \brief Reduces a list to up to \a count members of the highest capacity
/// classes, chosen at random among equals.
void
keepLargest(std::vector<const KnownMember*>& members,
            std::size_t count,
            Random& random)
{
  if (members.size() <= count) {
    return;
  }
  const auto classOf = [](const KnownMember* known) {
    return known->member.capacityClass;
  };
  const auto isLarger = [&](const KnownMember* left, const KnownMember* right) {
    return classOf(left) > classOf(right);
  };
  std::stable_sort(members.begin(), members.end(), isLarger);
  const auto [first, last] = std::equal_range(
    members.begin(), members.end(), members[count - 1], isLarger);
  std::vector<const KnownMember*> equals(first, last);
  members.erase(first, members.end());
  keepRandomSubset(equals, count - members.size(), random);
  members.insert(members.end(), equals.begin(), equals.end());
}

/// \returns a member as a peer describes it, with the capacity class that is
/// known already if the peer names none: older versions leave it out of what
/// they pass on, and a process never changes its class.
FleetMember
withKnownClass(FleetMember member, const KnownMember& known)
{
  if (member.capacityClass == 0 &&
      member.incarnation == known.member.incarnation) {
    member.capacityClass = known.member.capacityClass;
  }
  return member;
}

void
setMember(KnownMember& known, const FleetMember& member, MilliTime now)
{
  if (known.member == member) {
    return;
  }
  known.order = orderOf(member);
  known.member = member;
  known.changedAt = now;
}

}

std::uint32_t
memberKey(const Endpoint& address)
{
  return static_cast<std::uint32_t>(hashText(formatEndpoint(address)));
}

FleetMembers::FleetMembers(FleetMember newSelf)
  : self(std::move(newSelf))
  , order(internal::orderOf(this->self))
{
}

bool
FleetMembers::isNew(const FleetMember& member) const
{
  const auto found = this->members.find(member.address);
  return found == this->members.end() ||
         found->second.heardIncarnation != member.incarnation;
}

KnownMember*
FleetMembers::recordMessage(const FleetMember& sender, MilliTime now)
{
  if (sender.address == this->self.address) {
    return nullptr;
  }
  if (this->members.size() >= internal::kMaxMembers &&
      !this->members.contains(sender.address)) {
    return nullptr;
  }
  KnownMember& known = this->entryOf(sender.address);
  if (known.member.incarnation != sender.incarnation) {
    known.reports.clear();
    known.view = ViewVersions{};
  }
  internal::setMember(known, sender, now);
  known.heardIncarnation = sender.incarnation;
  known.heardAt = now;
  return &known;
}

void
FleetMembers::mergeGossip(const GossipedMember& gossip, MilliTime now)
{
  const FleetMember& member = gossip.member;
  const MilliTime heardAt{ now.ms - gossip.sinceHeard.ms };
  if (member.address == this->self.address ||
      now - heardAt > internal::kForgetAfter) {
    return;
  }
  const auto found = this->members.find(member.address);
  if (found == this->members.end()) {
    if (this->members.size() < internal::kMaxMembers) {
      KnownMember& known = this->entryOf(member.address);
      internal::setMember(known, member, now);
      known.heardAt = heardAt;
    }
    return;
  }
  KnownMember& known = found->second;
  if (heardAt > known.heardAt) {
    known.heardAt = heardAt;
    internal::setMember(known, internal::withKnownClass(member, known), now);
  }
}

KnownMember&
FleetMembers::entryOf(const Endpoint& address)
{
  const auto [entry, isNew] = this->members.try_emplace(address);
  if (isNew) {
    this->byKey.try_emplace(memberKey(address), address);
  }
  return entry->second;
}

bool
FleetMembers::mergeLiveness(const MemberLiveness& entry, MilliTime now)
{
  const auto found = this->byKey.find(entry.key);
  if (found == this->byKey.end()) {
    return entry.key == memberKey(this->self.address);
  }
  KnownMember& known = this->members.at(found->second);
  const MilliTime heardAt{ now.ms - entry.sinceHeard.ms };
  known.heardAt = std::max(known.heardAt, heardAt);
  return true;
}

std::vector<const KnownMember*>
FleetMembers::findKeys(std::span<const std::uint32_t> keys, MilliTime now) const
{
  std::vector<const KnownMember*> found;
  for (const std::uint32_t key : keys) {
    const auto entry = this->byKey.find(key);
    if (entry != this->byKey.end() &&
        this->isLive(this->members.at(entry->second), now)) {
      found.push_back(&this->members.at(entry->second));
    }
  }
  return found;
}

void
FleetMembers::forgetSilent(MilliTime now)
{
  const auto isForgotten = [now](const auto& entry) {
    return now - entry.second.heardAt > internal::kForgetAfter;
  };
  if (std::erase_if(this->members, isForgotten) == 0) {
    return;
  }
  boost::unordered::erase_if(this->byKey, [this](const auto& entry) {
    return !this->members.contains(entry.second);
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
  return now - member.heardAt <= kMemberTimeout;
}

template<typename Predicate>
std::vector<const KnownMember*>
FleetMembers::select(Predicate accepts) const
{
  std::vector<const KnownMember*> selected;
  for (const auto& [address, known] : this->members) {
    if (accepts(known)) {
      selected.push_back(&known);
    }
  }
  return selected;
}

template<typename Predicate>
std::vector<const KnownMember*>
FleetMembers::choose(std::size_t count, Random& random, Predicate accepts) const
{
  std::vector<const KnownMember*> chosen = this->select(accepts);
  internal::keepRandomSubset(chosen, count, random);
  return chosen;
}

template<typename Predicate>
const KnownMember*
FleetMembers::firstActive(MilliTime now, Predicate accepts) const
{
  const KnownMember* best = nullptr;
  for (const auto& [address, known] : this->members) {
    const bool isFirst = best == nullptr || known.order.isBefore(best->order);
    if (isFirst && this->isActive(known, now) && accepts(known)) {
      best = &known;
    }
  }
  return best;
}

std::vector<const KnownMember*>
FleetMembers::sample(bool ownZone, std::size_t count, Random& random) const
{
  return this->choose(count, random, [&](const KnownMember& known) {
    return (known.member.zone == this->self.zone) == ownZone;
  });
}

std::vector<const KnownMember*>
FleetMembers::sampleForGossip(std::size_t count,
                              MilliTime now,
                              Random& random) const
{
  std::vector<const KnownMember*> changed;
  std::vector<const KnownMember*> others;
  for (const auto& [address, known] : this->members) {
    if (this->isLive(known, now)) {
      const bool isRecent =
        now - known.changedAt <= internal::kRecentChangePeriod;
      (isRecent ? changed : others).push_back(&known);
    }
  }
  const std::size_t share = others.size() < count / 2 ? count : count / 2;
  internal::keepRandomSubset(changed, share, random);
  internal::keepRandomSubset(others, count - changed.size(), random);
  changed.insert(changed.end(), others.begin(), others.end());
  return changed;
}

std::vector<MemberLiveness>
FleetMembers::sampleLiveness(std::size_t count,
                             MilliTime now,
                             Random& random) const
{
  std::vector<MemberLiveness> liveness;
  for (const KnownMember* known : this->sampleLive(count, now, random)) {
    liveness.push_back(
      { memberKey(known->member.address), now - known->heardAt });
  }
  return liveness;
}

std::vector<const KnownMember*>
FleetMembers::sampleWithoutView(std::size_t count,
                                MilliTime now,
                                Random& random) const
{
  return this->choose(count, random, [&](const KnownMember& known) {
    return !known.member.hasView && this->isLive(known, now);
  });
}

std::vector<const KnownMember*>
FleetMembers::sampleWithView(std::size_t count,
                             MilliTime now,
                             Random& random) const
{
  auto sources = this->select([&](const KnownMember& known) {
    return known.member.hasView && this->isLive(known, now);
  });
  internal::keepLargest(sources, count, random);
  return sources;
}

const KnownMember*
FleetMembers::randomMemberWithView(MilliTime now, Random& random) const
{
  for (const bool ownZone : { true, false }) {
    auto sources = this->select([&](const KnownMember& known) {
      return known.member.hasView && this->isLive(known, now) &&
             (known.member.zone == this->self.zone) == ownZone;
    });
    internal::keepLargest(sources, internal::kViewSources, random);
    if (!sources.empty()) {
      return sources[random.below(sources.size())];
    }
  }
  return nullptr;
}

bool
FleetMembers::knowsLargerSource(const Endpoint& address, MilliTime now) const
{
  const auto found = this->members.find(address);
  if (found == this->members.end()) {
    return false;
  }
  const std::uint8_t ofSource = found->second.member.capacityClass;
  return std::any_of(
    this->members.begin(), this->members.end(), [&](const auto& entry) {
      const KnownMember& known = entry.second;
      return known.member.hasView && known.member.capacityClass > ofSource &&
             this->isLive(known, now);
    });
}

std::vector<const KnownMember*>
FleetMembers::sampleLive(std::size_t count, MilliTime now, Random& random) const
{
  return this->choose(count, random, [&](const KnownMember& known) {
    return this->isLive(known, now);
  });
}

bool
FleetMembers::isActive(const KnownMember& known, MilliTime now) const
{
  return !known.member.stopping && this->isLive(known, now);
}

std::size_t
FleetMembers::rankInZone(MilliTime now) const
{
  return static_cast<std::size_t>(std::count_if(
    this->members.begin(), this->members.end(), [&](const auto& entry) {
      const KnownMember& known = entry.second;
      return known.member.zone == this->self.zone &&
             known.order.isBefore(this->order) && this->isActive(known, now);
    }));
}

ReaderRole
FleetMembers::role(MilliTime now) const
{
  const KnownMember* reader =
    this->firstActive(now, [](const KnownMember&) { return true; });
  if (reader == nullptr || this->order.isBefore(reader->order)) {
    return ReaderRole::reader;
  }
  const std::string& zone = reader->member.zone;
  const KnownMember* firstOfOtherZones = this->firstActive(
    now, [&](const KnownMember& known) { return known.member.zone != zone; });
  const bool isInOtherZone = this->self.zone != zone;
  if (!isInOtherZone && firstOfOtherZones != nullptr) {
    return ReaderRole::none;
  }
  const KnownMember* otherCandidate =
    isInOtherZone ? firstOfOtherZones
                  : this->firstActive(now, [&](const KnownMember& known) {
                      return &known != reader;
                    });
  const bool isStandBy =
    otherCandidate == nullptr || this->order.isBefore(otherCandidate->order);
  return isStandBy ? ReaderRole::standBy : ReaderRole::none;
}

const KnownMember*
FleetMembers::standBy(MilliTime now) const
{
  const KnownMember* firstOfOtherZones =
    this->firstActive(now, [&](const KnownMember& known) {
      return known.member.zone != this->self.zone;
    });
  return firstOfOtherZones != nullptr
           ? firstOfOtherZones
           : this->firstActive(now, [](const KnownMember&) { return true; });
}

std::vector<const KnownMember*>
FleetMembers::sampleOtherZones(MilliTime now, Random& random) const
{
  std::map<std::string_view, std::vector<const KnownMember*>> byZone;
  for (const auto& [address, known] : this->members) {
    if (known.member.zone != this->self.zone && this->isLive(known, now)) {
      byZone[known.member.zone].push_back(&known);
    }
  }
  std::vector<const KnownMember*> chosen;
  chosen.reserve(byZone.size());
  for (auto& [zone, peers] : byZone) {
    internal::keepLargest(peers, internal::kReceivers, random);
    chosen.push_back(peers[random.below(peers.size())]);
  }
  return chosen;
}

ActiveMembers
FleetMembers::activeMembers(MilliTime now) const
{
  ActiveMembers active;
  active.own = { this->order.hash, zoneKeyOf(this->self.zone) };
  active.isOwnActive = !this->self.stopping;
  for (const auto& [address, known] : this->members) {
    if (this->isActive(known, now)) {
      active.peers.push_back(
        { known.order.hash, zoneKeyOf(known.member.zone) });
    }
  }
  std::sort(active.peers.begin(), active.peers.end());
  return active;
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
