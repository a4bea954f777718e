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

/// \brief 32-bit hash of an instance's id, which identifies the instance in
/// messages.
using MemberTag = std::uint32_t;

/// \returns the tag of the instance with this id.
inline MemberTag
memberTag(std::string_view id)
{
  return static_cast<MemberTag>(hashText(id, 2));
}

/// \brief Lifecycle phase of an instance, as the instance itself announces it.
enum class Phase : std::uint8_t
{
  joining, ///< receives its first view; owns no flows yet
  live,    ///< owns flows
  leaving, ///< hands its flows over and still forwards packets
  stopped, ///< sends no further messages
};

/// \brief Reachability of an instance, as another instance assesses it.
enum class Liveness : std::uint8_t
{
  unknown, ///< listed, but no message was received from it yet
  alive,
  suspect, ///< did not answer probes; may still prove that it is alive
  dead,
};

/// \brief Header of every message: the sender's own state.
struct PeerHeader
{
  MemberTag sender = 0;
  std::uint32_t incarnation = 0; ///< as in SWIM
  Phase phase = Phase::joining;
  std::uint64_t revision = 0;      ///< of the sender's configuration
  std::uint32_t statesVersion = 0; ///< of the sender's newest BucketStates
};

/// \brief State of one instance as the sender knows it.
struct MemberUpdate
{
  std::string id;
  std::string zone;
  Endpoint address;
  Liveness liveness = Liveness::unknown;
  Phase phase = Phase::joining;
  std::uint32_t incarnation = 0; ///< of the described instance
};

/// \brief Kinds of messages of the SWIM failure detector.
enum class ProbeKind : std::uint8_t
{
  ping,
  acknowledge,
  pingRequest, ///< requests the receiver to ping the subject
};

/// \brief Message of the failure detector, with piggybacked member updates.
struct Probe
{
  ProbeKind kind = ProbeKind::ping;
  std::uint32_t sequence = 0;
  MemberTag subject = 0; ///< instance to be pinged; of a ping request only
  std::vector<MemberUpdate> updates;
};

/// \brief A caller's packet that is relayed to the owner of its flow.
struct Relay
{
  std::vector<MemberTag> tried; ///< instances that have relayed the packet
  std::vector<std::uint8_t> packet;
};

/// \brief Purpose of the flow records in a FlowBatch.
enum class BatchPurpose : std::uint8_t
{
  handover,            ///< the receiver becomes the owner
  handoverUnconfirmed, ///< as handover, but the flows may have ended
  backup,              ///< the receiver stores them in case the owner fails
  /// The flows are not at the target that the lookup table gives; the receiver
  /// forwards their packets by these records.
  away,
  /// The receiver has relayed many packets of these flows and can forward them
  /// itself by these records.
  hint,
  withdraw, ///< the flows have ended; the receiver removes their records
};

/// \brief Encoded flow records of one service, see packFlowRecord().
struct FlowBatch
{
  std::uint32_t sequence = 0;
  BatchPurpose purpose = BatchPurpose::backup;
  std::uint32_t service = 0; ///< serviceTag() of the service
  /// targetTag() of each target; FlowRecord::target is an index into it.
  std::vector<std::uint32_t> targets;
  std::string records;
};

/// \brief Acknowledges messages by their sequence numbers.
struct Acknowledgement
{
  std::vector<std::uint32_t> sequences;
};

/// \brief Buckets of one service.
struct ServiceBuckets
{
  std::uint32_t service = 0; ///< serviceTag() of the service
  std::string buckets;       ///< bucket indices, encoded by packAscending()
};

/// \brief Announcement of the buckets in which a flow may be at another target
/// than the lookup table gives.
///
/// An instance that has no record of a flow in such a bucket relays its packets
/// to the owner. The announcement may be split into several parts.
struct BucketStates
{
  std::uint32_t version = 0;  ///< see PeerHeader::statesVersion
  std::uint64_t revision = 0; ///< of the configuration it applies to
  std::uint16_t part = 0;     ///< index of this part
  std::uint16_t parts = 1;    ///< number of parts of this version
  std::vector<ServiceBuckets> services;
  /// Ownership slots for which the sender places flows, encoded by
  /// packAscending(); in part 0 only. In these slots, flows of buckets that are
  /// not listed go to the target of the lookup table.
  std::string slots;
};

/// \brief Requests the receiver's BucketStates.
struct StatesRequest
{};

/// \brief Transfers ownership slots: from now on the receiver places their
/// flows.
struct OwnershipTransfer
{
  std::uint32_t sequence = 0;
  bool complete = false; ///< all open flows of these slots were handed over
  std::string slots;     ///< slot indices, encoded by packAscending()
};

/// \brief Numbers of open flows that the sender owns, by target and by service.
///
/// The numbers are in the order of the targets and of the services in the
/// configuration of \c revision.
struct LoadSummary
{
  std::uint64_t revision = 0;
  std::string counts;        ///< by target, encoded by packNumbers()
  std::string serviceCounts; ///< by service, encoded by packNumbers()
};

/// \brief Requests a configuration that is newer than a revision.
struct ConfigurationRequest
{
  std::uint64_t have = 0;   ///< revision that the sender has
  std::uint64_t want = 0;   ///< revision of a transfer to be continued, or 0
  std::uint32_t offset = 0; ///< byte at which that transfer continues
};

/// \brief One part of a configuration transfer.
///
/// The transferred text is a delta to revision \c base, or the whole document
/// if \c base is 0.
struct ConfigurationPart
{
  std::uint64_t base = 0;
  std::uint64_t revision = 0; ///< of the transferred configuration
  std::uint32_t offset = 0;   ///< of \c text in the transferred text, in bytes
  std::uint32_t total = 0;    ///< size of the transferred text in bytes
  std::string text;
};

/// \brief Body of a message: one of these kinds.
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
