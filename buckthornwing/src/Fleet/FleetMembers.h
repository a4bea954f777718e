#ifndef BUCKTHORNWING_FLEET_MEMBERS_H
#define BUCKTHORNWING_FLEET_MEMBERS_H

#include "../Core/Random.h"
#include "../SlowStart/ActiveMembers.h"
#include "FleetMessage.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <span>
#include <vector>

namespace buckthornwing {

/// \brief A peer's report of a target, and the time of its receipt.
struct ReceivedReport
{
  TargetReport report;
  MilliTime at{};
};

/// \brief Place of a member in the order in which members do work for the
/// whole fleet.
struct MemberOrder
{
  std::uint8_t capacityClass = 0; ///< highest first
  std::uint64_t hash = 0;         ///< of the id; decides among equals

  bool isBefore(const MemberOrder& other) const
  {
    return this->capacityClass == other.capacityClass
             ? this->hash < other.hash
             : this->capacityClass > other.capacityClass;
  }
};

/// \brief State of a peer.
struct KnownMember
{
  FleetMember member;
  MemberOrder order;     ///< the same at all members
  MilliTime changedAt{}; ///< last change of \a member
  /// Incarnation of the last message received directly from it; 0: none yet.
  std::uint64_t heardIncarnation = 0;
  MilliTime heardAt{}; ///< its last message, to this instance or to any peer
  ViewVersions view;
  bool wasLive = false; ///< at the last call of takeChanges()
  boost::unordered_flat_map<ShortTargetKey, ReceivedReport> reports;
};

/// \brief A member that joined the fleet or was lost.
struct MemberChange
{
  FleetMember member;
  bool isLive = false;
};

/// \brief Part of an instance in reading the store for the whole fleet.
enum class ReaderRole : std::uint8_t
{
  none,
  reader,  ///< first active member of the order: it reads the store
  standBy, ///< first active member of the order outside the reader's zone
};

/// \brief Membership list of the fleet: peers are found through the seeds, and
/// their liveness is propagated by gossip.
///
/// A member is live if it or any peer has reported its liveness recently. It is
/// active if it is live and not stopping. All members compute the same order:
/// by capacity class, and among equals by a hash of the id. Members of versions
/// without capacity classes come last.
class FleetMembers
{
public:
  /// \brief Time without a message after which a member is considered lost.
  static constexpr MilliDuration kMemberTimeout{ 4000 };

  explicit FleetMembers(FleetMember newSelf);

  /// \returns whether no message of a member's current run was received before.
  bool isNew(const FleetMember& member) const;

  /// \brief Records a message of a member.
  /// \returns the member; null if it is this instance, or if the list is full
  KnownMember* recordMessage(const FleetMember& sender, MilliTime now);

  /// \brief Merges the entry of a member that a peer sent. Older entries and
  /// entries of this instance are ignored.
  void mergeGossip(const GossipedMember& gossip, MilliTime now);

  /// \brief Merges the time at which a peer last heard of a member.
  /// \returns false if the member is unknown; true also for this instance
  /// itself
  bool mergeLiveness(const MemberLiveness& entry, MilliTime now);

  /// \returns the member with an address; null if it is unknown.
  const KnownMember* find(const Endpoint& address) const
  {
    const auto found = this->members.find(address);
    return found == this->members.end() ? nullptr : &found->second;
  }

  /// \returns the live members with the given keys; unknown keys are skipped.
  std::vector<const KnownMember*> findKeys(std::span<const std::uint32_t> keys,
                                           MilliTime now) const;

  /// \returns up to \a count live members for full gossip entries. Half of them
  /// are random ones among those that changed recently, so that changes spread
  /// fast.
  std::vector<const KnownMember*> sampleForGossip(std::size_t count,
                                                  MilliTime now,
                                                  Random& random) const;

  /// \returns short liveness entries of up to \a count random live members.
  std::vector<MemberLiveness> sampleLiveness(std::size_t count,
                                             MilliTime now,
                                             Random& random) const;

  /// \brief Removes members that have been silent for a long time.
  void forgetSilent(MilliTime now);

  /// \returns the members that became live or were lost since the last call.
  std::vector<MemberChange> takeChanges(MilliTime now);

  bool isLive(const KnownMember& member, MilliTime now) const;

  /// \returns up to \a count random members of this instance's zone, or of
  /// all other zones, including members that are not live.
  std::vector<const KnownMember*> sample(bool ownZone,
                                         std::size_t count,
                                         Random& random) const;

  /// \returns up to \a count random live members.
  std::vector<const KnownMember*> sampleLive(std::size_t count,
                                             MilliTime now,
                                             Random& random) const;

  /// \returns up to \a count random live members that have no view.
  std::vector<const KnownMember*> sampleWithoutView(std::size_t count,
                                                    MilliTime now,
                                                    Random& random) const;

  /// \returns up to \a count live members that have a view, of the highest
  /// capacity classes, chosen at random among equals.
  std::vector<const KnownMember*> sampleWithView(std::size_t count,
                                                 MilliTime now,
                                                 Random& random) const;

  /// \returns a live member that has a view, preferably of this instance's
  /// zone; null if there is none. It is chosen at random from several of
  /// the highest capacity classes, so that starting members don't all ask one.
  const KnownMember* randomMemberWithView(MilliTime now, Random& random) const;

  /// \returns whether a live member that has a view is of a higher capacity
  /// class than the member with an address.
  bool knowsLargerSource(const Endpoint& address, MilliTime now) const;

  /// \returns the number of active members of this instance's zone that come
  /// before it in the order; 0 if it is the first.
  std::size_t rankInZone(MilliTime now) const;

  /// \returns this instance's part in reading the store. In a fleet of a single
  /// zone, the second member of the order is the stand-by.
  ReaderRole role(MilliTime now) const;

  /// \returns the stand-by as seen by the reader: the first active peer of
  /// another zone, or the first active peer if there is no other zone; null
  /// without peers.
  const KnownMember* standBy(MilliTime now) const;

  /// \returns one live member of each other zone, chosen at random from two of
  /// the highest capacity classes.
  std::vector<const KnownMember*> sampleOtherZones(MilliTime now,
                                                   Random& random) const;

  /// \returns the active members in short form.
  ActiveMembers activeMembers(MilliTime now) const;

  /// \returns the number of live peers.
  std::size_t liveCount(MilliTime now) const;

  /// \returns the number of live peers in this instance's zone.
  std::size_t liveInZone(MilliTime now) const;

  const FleetMember& own() const { return this->self; }
  void setStopping() { this->self.stopping = true; }
  void setHasView() { this->self.hasView = true; }
  std::map<Endpoint, KnownMember>& all() { return this->members; }
  const std::map<Endpoint, KnownMember>& all() const { return this->members; }

private:
  FleetMember self;
  MemberOrder order;
  std::map<Endpoint, KnownMember> members;
  boost::unordered_flat_map<std::uint32_t, Endpoint> byKey;

  /// \returns the entry of a member, created if it is missing.
  KnownMember& entryOf(const Endpoint& address);
  /// \returns whether a member is live and not stopping.
  bool isActive(const KnownMember& known, MilliTime now) const;
  /// \returns all members that fulfil a predicate.
  template<typename Predicate>
  std::vector<const KnownMember*> select(Predicate accepts) const;
  /// \returns up to \a count random members that fulfil a predicate.
  template<typename Predicate>
  std::vector<const KnownMember*> choose(std::size_t count,
                                         Random& random,
                                         Predicate accepts) const;
  /// \returns the first active peer of the order that fulfils a predicate; null
  /// if there is none.
  template<typename Predicate>
  const KnownMember* firstActive(MilliTime now, Predicate accepts) const;
};

}

#endif
