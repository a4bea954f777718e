#ifndef BUCKTHORNWING_FLEET_MEMBERS_H
#define BUCKTHORNWING_FLEET_MEMBERS_H

#include "../Core/Random.h"
#include "FleetMessage.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <span>
#include <vector>

namespace buckthornwing {

/// \brief A report of a target with the time at which it was received.
struct ReceivedReport
{
  TargetReport report;
  MilliTime at{};
};

/// \brief What an instance knows of a peer.
struct KnownMember
{
  FleetMember member;
  std::uint64_t order = 0; ///< place among all members, alike at all of them
  MilliTime changedAt{};   ///< last time that anything but its age was news
  /// Of the run that was last heard directly; 0: none yet.
  std::uint64_t heardIncarnation = 0;
  MilliTime heardAt{}; ///< last sign of life, here or at any peer
  ViewVersions view;
  bool wasLive = false; ///< when changes were last taken
  boost::unordered_flat_map<std::uint64_t, ReceivedReport> reports;
};

/// \brief A member that appeared or fell silent.
struct MemberChange
{
  FleetMember member;
  bool isLive = false;
};

/// \brief What an instance does for the whole fleet.
enum class ReaderRole : std::uint8_t
{
  none,
  reader,  ///< the first live member: it follows the platform's store
  standBy, ///< the first one outside of the reader's zone
};

/// \brief The peers of an instance, found through seeds and spread by gossip.
class FleetMembers
{
public:
  /// \brief A member that was not heard for so long is taken for lost.
  static constexpr MilliDuration kLostAfter{ 4000 };

  explicit FleetMembers(FleetMember newSelf);

  /// \returns whether a member was never heard before in its present run.
  bool isNew(const FleetMember& member) const;

  /// \brief Notes a message of a member.
  /// \returns the member, or null if it is this instance itself
  KnownMember* hear(const FleetMember& sender, MilliTime now);

  /// \brief Notes what a peer says of a member.
  void hearOf(const GossipedMember& gossip, MilliTime now);

  /// \brief Notes when a peer last heard of a member.
  /// \returns whether the member is known, or this instance itself
  bool hearSign(const MemberSign& sign, MilliTime now);

  /// \returns the live members with the given keys that are known.
  std::vector<const KnownMember*> findKeys(std::span<const std::uint32_t> keys,
                                           MilliTime now) const;

  /// \returns members to tell others of in full: half of them are random ones
  /// among those that changed lately, so that changes spread fast.
  std::vector<const KnownMember*> sampleNews(std::size_t count,
                                             MilliTime now,
                                             Random& random) const;

  /// \returns signs of up to \a count random live members.
  std::vector<MemberSign> sampleSigns(std::size_t count,
                                      MilliTime now,
                                      Random& random) const;

  /// \brief Forgets members that were silent for long.
  void forgetSilent(MilliTime now);

  /// \returns what became live or lost since the last call.
  std::vector<MemberChange> takeChanges(MilliTime now);

  bool isLive(const KnownMember& member, MilliTime now) const;

  /// \returns up to \a count random members of the own zone, or of others.
  std::vector<const KnownMember*> sample(bool ownZone,
                                         std::size_t count,
                                         Random& random) const;

  /// \returns up to \a count random live members.
  std::vector<const KnownMember*> sampleLive(std::size_t count,
                                             MilliTime now,
                                             Random& random) const;

  /// \returns up to \a count random live members that have a view, or have
  /// none.
  std::vector<const KnownMember*> sampleByView(bool hasView,
                                               std::size_t count,
                                               MilliTime now,
                                               Random& random) const;

  /// \returns a random live member that has a view, of the own zone if any of
  /// that has one; null if there is none.
  const KnownMember* anyWithView(MilliTime now, Random& random) const;

  /// \returns this instance's place among the live members of its zone, in an
  /// order that all of them compute alike; 0 is first.
  std::size_t rankInZone(MilliTime now) const;

  /// \returns this instance's part in reading the store. A fleet in one zone
  /// has its second member as the stand-by.
  ReaderRole role(MilliTime now) const;

  /// \returns the stand-by, if it is another instance; otherwise null.
  const KnownMember* standBy(MilliTime now) const;

  /// \returns one live member for each other zone.
  std::vector<const KnownMember*> oneInEachOtherZone(MilliTime now,
                                                     Random& random) const;

  std::size_t liveCount(MilliTime now) const;

  /// \returns the number of live members in the own zone.
  std::size_t liveInZone(MilliTime now) const;

  const FleetMember& own() const { return this->self; }
  void setStopping() { this->self.stopping = true; }
  void setHasView() { this->self.hasView = true; }
  std::map<Endpoint, KnownMember>& all() { return this->members; }
  const std::map<Endpoint, KnownMember>& all() const { return this->members; }

private:
  FleetMember self;
  std::uint64_t order;
  std::map<Endpoint, KnownMember> members;
  boost::unordered_flat_map<std::uint32_t, Endpoint> byKey;

  /// \returns the entry of a member, new if it was not known.
  KnownMember& entryOf(const Endpoint& address);
  bool takesPart(const KnownMember& known, MilliTime now) const;
  /// \returns up to \a count random members of those that a predicate names.
  template<typename Predicate>
  std::vector<const KnownMember*> choose(std::size_t count,
                                         Random& random,
                                         Predicate isFit) const;
  /// \returns the first member, in the order of all, of those that take part
  /// and that a predicate names; null if there is none.
  template<typename Predicate>
  const KnownMember* first(MilliTime now, Predicate isFit) const;
};

}

#endif
