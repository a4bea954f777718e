#ifndef BUCKTHORNWING_FLEET_MESSAGE_H
#define BUCKTHORNWING_FLEET_MESSAGE_H

#include "../View/EventStamp.h"
#include "../View/RouteBook.h"
#include "../View/TargetRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornwing {

/// \brief An instance as its peers know it.
struct FleetMember
{
  std::string id;
  std::string zone;
  Endpoint address;
  std::uint64_t incarnation = 0; ///< differs for each run of a process
  bool stopping = false;
  bool hasView = false; ///< of targets and routes, which it passes on

  bool operator==(const FleetMember&) const = default;
};

/// \brief How new an instance's view is.
struct ViewVersions
{
  std::uint64_t targetsRevision = 0;
  std::uint64_t routesVersion = 0;
  std::uint64_t routesRevision = 0;
  MilliDuration targetsAge{}; ///< since the store confirmed them
  MilliDuration routesAge{};
  MilliDuration unwellAgo{};      ///< since the store last failed someone
  EventStamp targetsConfirmation; ///< what the ages above count from
  EventStamp routesConfirmation;
  EventStamp storeFailure;
};

/// \brief What one instance sees of one target.
struct TargetReport
{
  std::uint64_t number = 0; ///< of the target
  std::int32_t flows = 0;
  std::int32_t busy = 0;
  std::int32_t silentFlows = 0;
  MilliDuration sinceProgress{};
  bool dead = false; ///< a probe found that it does not answer
};

/// \brief A member that the sender knows.
struct GossipedMember
{
  FleetMember member;
  MilliDuration heardAgo{}; ///< since anyone heard it
};

/// \brief A short sign of life of a member that most receivers know.
struct MemberSign
{
  std::uint32_t key = 0; ///< memberKey() of its address
  MilliDuration heardAgo{};
};

/// \returns a short name of a member. Two members share one with a chance of
/// one in 25,000 among 600; a lost one of the two then looks alive.
std::uint32_t
memberKey(const Endpoint& address);

/// \brief Sent some times a second to a few members.
struct FleetHeartbeat
{
  ViewVersions view;
  std::vector<GossipedMember> members; ///< some of those it knows, in full
  std::vector<MemberSign> signs;       ///< of many of those it knows
  std::vector<TargetReport> reports;
};

/// \brief Asks to be told in full of members that only signs were heard of.
struct MemberRequest
{
  std::vector<std::uint32_t> keys;
};

/// \brief What an update holds. Targets are small and urgent, routes may be
/// large, so neither waits for the other.
enum class ViewContent : std::uint8_t
{
  targets,
  routes,
};

/// \brief Asks for what is newer than the sender's view, or for the next parts
/// of an update that is under way.
struct ViewRequest
{
  ViewContent content = ViewContent::targets;
  std::uint64_t have = 0;     ///< the sender's revision of targets, or version
  std::uint64_t transfer = 0; ///< 0 asks for a new update
  std::uint32_t offset = 0;
};

/// \brief A part of an encoded ViewUpdate.
struct ViewPart
{
  ViewContent content = ViewContent::targets;
  std::uint64_t transfer = 0; ///< names the update among the sender's
  std::uint32_t offset = 0;
  std::uint32_t total = 0;
  std::string bytes;
};

/// \brief The targets or the routes that a receiver with the base lacks.
struct ViewUpdate
{
  ViewVersions view;
  std::uint64_t targetsBase = 0;
  bool isFull = false;
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
