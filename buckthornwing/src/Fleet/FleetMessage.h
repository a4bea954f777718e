#ifndef BUCKTHORNWING_FLEET_MESSAGE_H
#define BUCKTHORNWING_FLEET_MESSAGE_H

#include "../View/EvacuationList.h"
#include "../View/EventStamp.h"
#include "../View/RouteIndex.h"
#include "../View/TargetRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornwing {

/// \brief Description of an instance as sent to its peers.
struct FleetMember
{
  std::string id;
  std::string zone;
  Endpoint address;
  std::uint64_t incarnation = 0; ///< different for each run of the process
  bool stopping = false;
  bool hasView = false; ///< it has a complete view to pass on
  /// Class of the instance's link and processor, see capacityClassOf(); members
  /// of a higher class do the work for the fleet first.
  std::uint8_t capacityClass = 0;

  bool operator==(const FleetMember&) const = default;
};

/// \brief Versions of an instance's view, and the ages of their confirmations.
struct ViewVersions
{
  std::uint64_t targetsRevision = 0; ///< of TargetRegistry::contentPosition()
  std::uint64_t routesVersion = 0;
  std::uint64_t routesRevision = 0;   ///< of TagBlackboard::routesPosition
  std::optional<StoreEra> targetsEra; ///< era of \a targetsRevision
  std::optional<StoreEra> routesEra;  ///< era of \a routesRevision
  MilliDuration targetsAge{}; ///< time since the store confirmed the targets
  MilliDuration routesAge{};  ///< time since the store confirmed the routes
  MilliDuration sinceStoreFailure{}; ///< time since the last store failure
  EventStamp targetsConfirmation;    ///< event that \a targetsAge refers to
  EventStamp routesConfirmation;     ///< event that \a routesAge refers to
  EventStamp storeFailure; ///< event that \a sinceStoreFailure refers to
  /// All evacuations; nothing if the instance has not read them, or does not
  /// know of evacuations.
  std::optional<EvacuationList> evacuations;
};

/// \brief Load and health of one target as one instance sees them.
struct TargetReport
{
  ShortTargetKey target = 0;
  std::int32_t flows = 0;
  std::int32_t busy = 0;
  std::int32_t silentFlows = 0;
  /// Time since TargetLoad::progressAt; nothing if the target was never
  /// seen to answer.
  std::optional<MilliDuration> sinceProgress;
  bool dead = false; ///< probes found that it does not answer
  /// Mean time that a request occupies a slot, in ms; nothing if unknown.
  std::optional<double> serviceMs{};
  /// Sum over all instances of the sender's zone, as known to the sender;
  /// nothing unless the receiver is of another zone.
  std::optional<std::int32_t> totalFlows{};
  std::optional<std::int32_t> totalBusy{}; ///< like \a totalFlows
};

/// \brief Full gossip entry of a member that the sender knows.
struct GossipedMember
{
  FleetMember member;
  MilliDuration sinceHeard{}; ///< time since any instance received its message
};

/// \brief Short liveness entry of a member that most receivers know already.
struct MemberLiveness
{
  std::uint32_t key = 0; ///< memberKey() of its address
  MilliDuration sinceHeard{};
};

/// \returns a 32-bit hash of a member's address, its short name in messages.
///
/// Among 600 members, two share a key with a probability of 1 in 25,000. If one
/// of these two is lost, it appears live as long as the other one is.
std::uint32_t
memberKey(const Endpoint& address);

/// \brief Heartbeat, sent several times a second to a few members.
struct FleetHeartbeat
{
  ViewVersions view;
  std::vector<GossipedMember> members;  ///< full entries of some members
  std::vector<MemberLiveness> liveness; ///< liveness of many members
  std::vector<TargetReport> reports;
};

/// \brief Requests the full entries of members that the sender knows only by
/// their keys.
struct MemberRequest
{
  std::vector<std::uint32_t> keys;
};

/// \brief Content of an update. Targets and routes are sent in separate
/// updates: targets are small and urgent and must not wait for routes, which
/// may be large.
enum class ViewContent : std::uint8_t
{
  targets,
  routes,
};

/// \brief Requests what is newer than the sender's view, or the next parts of
/// an update that is being transferred.
struct ViewRequest
{
  ViewContent content = ViewContent::targets;
  /// Sender's revision of targets, or version of routes.
  std::uint64_t have = 0;
  std::optional<StoreEra> era; ///< era of the revision of targets
  std::uint64_t transfer = 0;  ///< id of the transfer; 0 requests a new update
  std::uint32_t offset = 0;    ///< of the first requested byte
};

/// \brief A part of an encoded ViewUpdate.
struct ViewPart
{
  ViewContent content = ViewContent::targets;
  std::uint64_t transfer = 0; ///< id of the update, unique at the sender
  std::uint32_t offset = 0;   ///< of the part, in bytes
  std::uint32_t total = 0;    ///< size of the whole update in bytes
  std::string bytes;
};

/// \brief The targets or the routes that changed since a base version.
struct ViewUpdate
{
  ViewVersions view;
  /// Revision that \a targets continue from, in the era of \a view.
  std::uint64_t targetsBase = 0;
  bool isFull = false; ///< \a targets is a complete list
  std::optional<std::uint64_t> unchangedDigest; ///< see TargetDelta
  std::vector<TargetChange> targets;
  std::optional<RouteChanges> routes;
};

/// \brief A message between instances.
struct FleetMessage
{
  FleetMember sender;
  std::variant<FleetHeartbeat, ViewRequest, ViewPart, MemberRequest> body;
};

}

#endif
