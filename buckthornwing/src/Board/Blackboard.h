#ifndef BUCKTHORNWING_BLACKBOARD_H
#define BUCKTHORNWING_BLACKBOARD_H

#include "../Core/Random.h"
#include "Counters.h"
#include "EngineSettings.h"
#include "FlowTable.h"
#include "Member.h"
#include "Outbox.h"
#include "OwnerTable.h"
#include "Service.h"
#include "Target.h"

#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthornwing {

/// \brief Address, protocol and port at which callers reach a service.
struct ServiceEndpoint
{
  Endpoint endpoint;
  Protocol protocol = Protocol::tcp;

  bool operator==(const ServiceEndpoint&) const = default;
};

/// \brief Hash for the endpoint map; reads 16 address bytes as two words.
struct ServiceEndpointHash
{
  std::size_t operator()(const ServiceEndpoint& key) const
  {
    const auto words =
      std::bit_cast<std::array<std::uint64_t, 2>>(key.endpoint.address.bytes);
    const std::uint64_t port = static_cast<std::uint64_t>(key.endpoint.port) |
                               static_cast<std::uint64_t>(key.protocol) << 16;
    return mixWords(words[0] ^ words[1], port);
  }
};

/// \brief State of the adopted configuration, apart from its services and
/// targets.
struct ViewState
{
  std::uint64_t revision = 0; ///< adopted revision; 0 if none
  std::uint64_t hashSeed = 0;
  MilliTime adoptedAt{};
  bool commitPending = false; ///< peers may still have an older revision
  std::uint64_t newestPeerRevision = 0; ///< highest revision of any peer
  /// Time of the platform's last answer; negative if there was none.
  MilliTime lastPlatformContactAt{ -1 };
};

/// \brief Whether this instance trusts its own view, and what it depends on.
/// Negative times mean never.
struct TrustState
{
  MilliTime lastTick{ -1 };
  MilliTime lastPeerContactAt{ -1 }; ///< last message from a peer
  MilliTime startedAt{ -1 };
  /// Sequence number of the first probe that confirms after a pause.
  std::uint32_t firstConfirmingProbe = 0;
  bool paused = false; ///< was paused and is not yet confirmed
  /// Peers declared this instance dead during its pause.
  bool rejoiningAfterPause = false;
  bool trusted = false; ///< may place flows and use the table
};

/// \brief Shared state of one engine's controllers.
struct Blackboard
{
  EngineSettings settings;
  Random random;
  ViewState view;
  TrustState trust;
  std::uint32_t statesVersion = 0; ///< of this instance's last announcement
  std::vector<Member> members;     ///< by MemberIndex; kSelf is first
  std::vector<Slot> slots = std::vector<Slot>(kSlotCount);
  std::vector<Target> targets;
  std::vector<Service> services;
  /// Indices of the adopted configuration's targets, in its order.
  std::vector<TargetIndex> publishedTargets;
  /// Indices of the adopted configuration's services, in its order.
  std::vector<ServiceIndex> publishedServices;
  boost::unordered_flat_map<ServiceEndpoint, ServiceIndex, ServiceEndpointHash>
    endpoints;
  std::unordered_map<std::uint32_t, TargetIndex> targetByTag;
  std::unordered_map<std::uint32_t, ServiceIndex> serviceByTag;
  std::unordered_map<MemberTag, MemberIndex> memberByTag;
  /// Slots that a member expects from this instance, but that this instance
  /// does not hold; OwnershipController tells the member.
  std::set<std::pair<MemberIndex, SlotIndex>> disclaimedSlots;
  FlowTable flows;
  Counters counters;
  Outbox outbox;

  Member& self() { return this->members[kSelf]; }
  const Member& self() const { return this->members[kSelf]; }

  /// \returns the index of the member with this tag, or kNoMember.
  MemberIndex findMember(MemberTag tag) const
  {
    const auto found = this->memberByTag.find(tag);
    return found == this->memberByTag.end() ? kNoMember : found->second;
  }

  /// \returns the number of known members, including this instance.
  MemberIndex memberCount() const
  {
    return static_cast<MemberIndex>(this->members.size());
  }

  /// \returns the header of this instance's next message.
  PeerHeader header() const
  {
    const Member& self = this->self();
    return PeerHeader{ self.tag,
                       self.incarnation,
                       self.phase,
                       this->view.revision,
                       this->statesVersion };
  }

  /// \brief Puts a message to a member into the outbox.
  void send(MemberIndex to, PeerBody body)
  {
    this->outbox.messages.push_back(
      { this->members[to].address, { this->header(), std::move(body) } });
  }

  /// \brief Puts an event into the outbox, for the log.
  void log(Event event) { this->outbox.events.push_back(std::move(event)); }

  /// \returns whether packets of unknown flows of the bucket must be relayed to
  /// their owner: the bucket has a flag, or the owner's last announcement is
  /// missing here.
  bool mustRelayToOwner(const Service& service, BucketIndex bucket) const
  {
    if (service.flags[bucket] != 0) {
      return true;
    }
    const MemberIndex primary = this->slots[slotOf(bucket)].owners.primary;
    if (primary == kNoMember || primary == kSelf) {
      return false;
    }
    const Member& owner = this->members[primary];
    return owner.statesApplied != owner.statesVersion;
  }

  /// \returns the slot of a flow of a service.
  SlotIndex slotOfFlow(FlowId flow, ServiceIndex service) const
  {
    return slotOf(bucketOf(flow, this->services[service].bucketCount()));
  }

  /// \returns the number of instances that own flows, but at least 1.
  std::size_t ownerCount() const
  {
    std::size_t count = 0;
    for (const Member& member : this->members) {
      count += member.owner() ? 1 : 0;
    }
    return count == 0 ? 1 : count;
  }
};

}

#endif
