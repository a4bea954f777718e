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

/// \brief An (address, protocol, port) that callers use.
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

/// \brief What is known of the configuration besides its services.
struct ViewState
{
  std::uint64_t revision = 0; ///< adopted; 0 means none yet
  std::uint64_t hashSeed = 0;
  MilliTime adoptedAt{};
  bool commitPending = false;    ///< peers may still be at an older revision
  std::uint64_t newestHeard = 0; ///< highest revision any peer spoke of
  MilliTime platformContact{ -1 };
};

/// \brief How far this instance trusts its own view.
struct TrustState
{
  MilliTime lastTick{ -1 };
  MilliTime peerContact{ -1 };
  MilliTime startedAt{ -1 };
  std::uint32_t confirmFrom = 0; ///< first probe that counts after a pause
  bool paused = false;           ///< woke from a pause, not confirmed since
  bool rejoining = false; ///< peers gave this instance up while it paused
  bool trusted = false;   ///< may place flows and follow the table
};

/// \brief Shared state of one engine's controllers.
struct Blackboard
{
  EngineSettings settings;
  Random random;
  ViewState view;
  TrustState trust;
  std::uint32_t statesVersion = 0;
  std::vector<Member> members; ///< kSelf first
  std::vector<Slot> slots = std::vector<Slot>(kSlotCount);
  std::vector<Target> targets;
  std::vector<Service> services;
  /// Positions of the configuration's targets, in its order.
  std::vector<TargetIndex> publishedTargets;
  /// Positions of the configuration's services, in its order.
  std::vector<ServiceIndex> publishedServices;
  boost::unordered_flat_map<ServiceEndpoint, ServiceIndex, ServiceEndpointHash>
    endpoints;
  std::unordered_map<std::uint32_t, TargetIndex> targetByTag;
  std::unordered_map<std::uint32_t, ServiceIndex> serviceByTag;
  std::unordered_map<MemberTag, MemberIndex> memberByTag;
  /// Slots that a member waits to get from this instance, which has not got
  /// them either.
  std::set<std::pair<MemberIndex, SlotIndex>> disclaims;
  FlowTable flows;
  Counters counters;
  Outbox outbox;

  Member& self() { return this->members[kSelf]; }
  const Member& self() const { return this->members[kSelf]; }

  /// \returns the position of a member, or kNoMember.
  MemberIndex findMember(MemberTag tag) const
  {
    const auto found = this->memberByTag.find(tag);
    return found == this->memberByTag.end() ? kNoMember : found->second;
  }

  /// \returns how many members are known, this instance among them.
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

  /// \brief Puts a change of a member, or of this instance, into the log.
  void log(Event event) { this->outbox.events.push_back(std::move(event)); }

  /// \returns whether a flow of the bucket must ask its owner.
  bool mustAsk(const Service& service, BucketIndex bucket) const
  {
    if (service.flags[bucket] != 0) {
      return true;
    }
    const MemberIndex primary = this->slots[slotOf(bucket)].owners.primary;
    if (primary == kNoMember || primary == kSelf) {
      return false;
    }
    const Member& owner = this->members[primary];
    return owner.statesSeen != owner.statesVersion;
  }

  /// \returns the slot of a flow of a service.
  SlotIndex slotOfFlow(FlowId flow, ServiceIndex service) const
  {
    return slotOf(bucketOf(flow, this->services[service].bucketCount()));
  }

  /// \returns how many instances own flows, at least one.
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
