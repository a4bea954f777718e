#ifndef BUCKTHORNWING_PEER_MESSAGE_H
#define BUCKTHORNWING_PEER_MESSAGE_H

#include "../Core/Hash.h"
#include "../Core/IpAddress.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornwing {

/// \brief Hash of an instance's id, which stands for it in messages.
using MemberTag = std::uint32_t;

/// \returns an instance's tag in messages.
inline MemberTag
memberTag(std::string_view id)
{
  return static_cast<MemberTag>(hashText(id, 2));
}

/// \brief Where an instance is in its life, as it says itself.
enum class Phase : std::uint8_t
{
  joining, ///< learns the view; owns nothing yet
  live,    ///< owns flows
  leaving, ///< hands its flows over, still forwards
  stopped, ///< will send nothing more
};

/// \brief What an instance believes of another one's reachability.
enum class Liveness : std::uint8_t
{
  unknown, ///< listed, never heard
  alive,
  suspect,
  dead,
};

/// \brief Stands in every message; the sender's own state.
struct PeerHeader
{
  MemberTag sender = 0;
  std::uint32_t incarnation = 0;
  Phase phase = Phase::joining;
  std::uint64_t revision = 0;
  std::uint32_t statesVersion = 0;
};

/// \brief What the sender knows of one instance.
struct MemberUpdate
{
  std::string id;
  std::string zone;
  Endpoint address;
  Liveness liveness = Liveness::unknown;
  Phase phase = Phase::joining;
  std::uint32_t incarnation = 0;
};

/// \brief Kinds of probe, after SWIM.
enum class ProbeKind : std::uint8_t
{
  ping,
  acknowledge,
  pingRequest, ///< asks the receiver to ping the subject
};

/// \brief A failure detector's message, with updates for dissemination.
struct Probe
{
  ProbeKind kind = ProbeKind::ping;
  std::uint32_t sequence = 0;
  MemberTag subject = 0; ///< of a ping request
  std::vector<MemberUpdate> updates;
};

/// \brief A caller's packet on its way to the flow's owner.
struct Relay
{
  std::vector<MemberTag> tried; ///< instances that had the packet already
  std::vector<std::uint8_t> packet;
};

/// \brief Why flow records are sent.
enum class BatchPurpose : std::uint8_t
{
  handover,            ///< the receiver becomes the owner
  handoverUnconfirmed, ///< likewise, but the flow may have ended
  backup,              ///< the receiver keeps them in case the owner fails
  away,     ///< these flows are away from their table target; forward by them
  hint,     ///< the receiver relays many packets of these flows
  withdraw, ///< these flows ended; forget them
};

/// \brief Flow records of one service in packed form, see FlowRecord.
struct FlowBatch
{
  std::uint32_t sequence = 0;
  BatchPurpose purpose = BatchPurpose::backup;
  std::uint32_t service = 0;          ///< serviceTag()
  std::vector<std::uint32_t> targets; ///< targetTag() of each record's index
  std::string records;
};

/// \brief Confirms messages that carry a sequence number.
struct Acknowledgement
{
  std::vector<std::uint32_t> sequences;
};

/// \brief Buckets of one service, as packed ascending differences.
struct ServiceBuckets
{
  std::uint32_t service = 0;
  std::string buckets;
};

/// \brief All buckets of the sender whose flows must ask their owner.
struct BucketStates
{
  std::uint32_t version = 0;
  std::uint64_t revision = 0;
  std::uint16_t part = 0;
  std::uint16_t parts = 1;
  std::vector<ServiceBuckets> services;
  /// Slots that the sender acts for, in the first part alone. Their buckets
  /// that are not listed follow the table.
  std::string slots;
};

/// \brief Asks for the receiver's BucketStates.
struct StatesRequest
{};

/// \brief The receiver places the flows of these slots from now on.
struct OwnershipTransfer
{
  std::uint32_t sequence = 0;
  bool complete = false; ///< every flow of these slots was handed over
  std::string slots;     ///< packed ascending differences
};

/// \brief Open flows that the sender owns for each target.
struct LoadSummary
{
  std::uint64_t revision = 0;
  std::string counts;        ///< packed, in the order of the targets
  std::string serviceCounts; ///< packed, in the order of the services
};

/// \brief Asks for a configuration above a revision.
struct ConfigurationRequest
{
  std::uint64_t have = 0;
  std::uint64_t want = 0; ///< the revision of a transfer that goes on, or 0
  std::uint32_t offset = 0;
};

/// \brief A piece of a configuration: a delta to \c base, or whole if 0.
struct ConfigurationPart
{
  std::uint64_t base = 0;
  std::uint64_t revision = 0;
  std::uint32_t offset = 0;
  std::uint32_t total = 0;
  std::string text;
};

using PeerBody = std::variant<Probe,
                              Relay,
                              FlowBatch,
                              Acknowledgement,
                              BucketStates,
                              StatesRequest,
                              OwnershipTransfer,
                              LoadSummary,
                              ConfigurationRequest,
                              ConfigurationPart>;

/// \brief One message between two instances.
struct PeerMessage
{
  PeerHeader header;
  PeerBody body;
};

}

#endif
