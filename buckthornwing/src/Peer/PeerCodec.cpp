#include "PeerCodec.h"

#include "CompactCodec.h"
#include "WireMember.h"
#include "generated/peer_types.h"

#include <cstring>
#include <limits>

namespace buckthornwing {
namespace internal {

/// \brief Format version in the first byte of each datagram.
constexpr std::uint8_t kFormatVersion = 1;

std::int32_t
toSigned(std::uint32_t value)
{
  return static_cast<std::int32_t>(value);
}

std::uint32_t
toUnsigned(std::int32_t value)
{
  return static_cast<std::uint32_t>(value);
}

std::vector<std::int32_t>
toSigned(const std::vector<std::uint32_t>& values)
{
  return { values.begin(), values.end() };
}

std::vector<std::uint32_t>
toUnsigned(const std::vector<std::int32_t>& values)
{
  return { values.begin(), values.end() };
}

/// \brief Converts a received number to an enumerator.
/// \param last the enumeration's largest enumerator
/// \returns whether the number is from 0 to \a last
template<typename Enum>
bool
readEnum(std::int8_t value, Enum last, Enum& out)
{
  if (value < 0 || value > static_cast<std::int8_t>(last)) {
    return false;
  }
  out = static_cast<Enum>(value);
  return true;
}

wire::MemberUpdate
toWire(const MemberUpdate& update)
{
  wire::MemberUpdate out;
  writeMember(update, out);
  out.liveness = static_cast<std::int8_t>(update.liveness);
  out.phase = static_cast<std::int8_t>(update.phase);
  out.incarnation = toSigned(update.incarnation);
  return out;
}

bool
fromWire(const wire::MemberUpdate& in, MemberUpdate& out)
{
  if (!readMember(in, out)) {
    return false;
  }
  out.incarnation = toUnsigned(in.incarnation);
  return readEnum(in.liveness, Liveness::dead, out.liveness) &&
         readEnum(in.phase, Phase::stopped, out.phase);
}

/// \brief Visitor that writes a message's body into the Thrift union.
struct BodyWriter
{
  wire::Body& out;

  void operator()(const Probe& body) const
  {
    wire::Probe probe;
    probe.kind = static_cast<std::int8_t>(body.kind);
    probe.sequence = toSigned(body.sequence);
    probe.subject = toSigned(body.subject);
    for (const MemberUpdate& update : body.updates) {
      probe.updates.push_back(toWire(update));
    }
    this->out.__set_probe(probe);
  }

  void operator()(const Relay& body) const
  {
    wire::Relay relay;
    relay.tried = toSigned(body.tried);
    relay.packet.assign(body.packet.begin(), body.packet.end());
    this->out.__set_relay(relay);
  }

  void operator()(const FlowBatch& body) const
  {
    wire::FlowBatch batch;
    batch.sequence = toSigned(body.sequence);
    batch.purpose = static_cast<std::int8_t>(body.purpose);
    batch.serviceTag = toSigned(body.service);
    batch.targets = toSigned(body.targets);
    batch.records = body.records;
    this->out.__set_flowBatch(batch);
  }

  void operator()(const Acknowledgement& body) const
  {
    wire::Acknowledgement acknowledgement;
    acknowledgement.sequences = toSigned(body.sequences);
    this->out.__set_acknowledgement(acknowledgement);
  }

  void operator()(const BucketStates& body) const
  {
    wire::BucketStates states;
    states.version = toSigned(body.version);
    states.revision = static_cast<std::int64_t>(body.revision);
    states.part = static_cast<std::int16_t>(body.part);
    states.parts = static_cast<std::int16_t>(body.parts);
    for (const ServiceBuckets& service : body.services) {
      wire::ServiceBuckets buckets;
      buckets.serviceTag = toSigned(service.service);
      buckets.buckets = service.buckets;
      states.services.push_back(buckets);
    }
    states.slots = body.slots;
    this->out.__set_bucketStates(states);
  }

  void operator()(const StatesRequest& /*body*/) const
  {
    this->out.__set_statesRequest(wire::StatesRequest{});
  }

  void operator()(const OwnershipTransfer& body) const
  {
    wire::OwnershipTransfer transfer;
    transfer.sequence = toSigned(body.sequence);
    transfer.complete = body.complete;
    transfer.slots = body.slots;
    this->out.__set_ownershipTransfer(transfer);
  }

  void operator()(const LoadSummary& body) const
  {
    wire::LoadSummary summary;
    summary.revision = static_cast<std::int64_t>(body.revision);
    summary.counts = body.counts;
    summary.serviceCounts = body.serviceCounts;
    this->out.__set_loadSummary(summary);
  }

  void operator()(const ConfigurationRequest& body) const
  {
    wire::ConfigurationRequest request;
    request.have = static_cast<std::int64_t>(body.have);
    request.want = static_cast<std::int64_t>(body.want);
    request.offset = toSigned(body.offset);
    this->out.__set_configurationRequest(request);
  }

  void operator()(const ConfigurationPart& body) const
  {
    wire::ConfigurationPart part;
    part.base = static_cast<std::int64_t>(body.base);
    part.revision = static_cast<std::int64_t>(body.revision);
    part.offset = toSigned(body.offset);
    part.total = toSigned(body.total);
    part.text = body.text;
    this->out.__set_configurationPart(part);
  }
};

bool
readProbe(const wire::Probe& in, PeerBody& body)
{
  Probe probe;
  probe.sequence = toUnsigned(in.sequence);
  probe.subject = toUnsigned(in.subject);
  for (const wire::MemberUpdate& update : in.updates) {
    if (!fromWire(update, probe.updates.emplace_back())) {
      return false;
    }
  }
  const bool isValid = readEnum(in.kind, ProbeKind::pingRequest, probe.kind);
  body = std::move(probe);
  return isValid;
}

bool
readFlowBatch(const wire::FlowBatch& in, PeerBody& body)
{
  FlowBatch batch;
  batch.sequence = toUnsigned(in.sequence);
  batch.service = toUnsigned(in.serviceTag);
  batch.targets = toUnsigned(in.targets);
  batch.records = in.records;
  const bool isValid =
    readEnum(in.purpose, BatchPurpose::withdraw, batch.purpose);
  body = std::move(batch);
  return isValid;
}

bool
readBucketStates(const wire::BucketStates& in, PeerBody& body)
{
  BucketStates states;
  states.version = toUnsigned(in.version);
  states.revision = static_cast<std::uint64_t>(in.revision);
  states.part = static_cast<std::uint16_t>(in.part);
  states.parts = static_cast<std::uint16_t>(in.parts);
  states.slots = in.slots;
  for (const wire::ServiceBuckets& service : in.services) {
    states.services.push_back(
      { toUnsigned(service.serviceTag), service.buckets });
  }
  body = std::move(states);
  return in.part >= 0 && in.part < in.parts;
}

/// \brief Reads the member of the Thrift union that is set.
/// \returns whether one is set and well formed
bool
readBody(const wire::Body& in, PeerBody& body)
{
  if (in.__isset.probe) {
    return readProbe(in.probe, body);
  }
  if (in.__isset.relay) {
    const std::string& packet = in.relay.packet;
    body =
      Relay{ toUnsigned(in.relay.tried), { packet.begin(), packet.end() } };
    return true;
  }
  if (in.__isset.flowBatch) {
    return readFlowBatch(in.flowBatch, body);
  }
  if (in.__isset.acknowledgement) {
    body = Acknowledgement{ toUnsigned(in.acknowledgement.sequences) };
    return true;
  }
  if (in.__isset.bucketStates) {
    return readBucketStates(in.bucketStates, body);
  }
  if (in.__isset.statesRequest) {
    body = StatesRequest{};
    return true;
  }
  if (in.__isset.ownershipTransfer) {
    body = OwnershipTransfer{ toUnsigned(in.ownershipTransfer.sequence),
                              in.ownershipTransfer.complete,
                              in.ownershipTransfer.slots };
    return true;
  }
  if (in.__isset.loadSummary) {
    body = LoadSummary{ static_cast<std::uint64_t>(in.loadSummary.revision),
                        in.loadSummary.counts,
                        in.loadSummary.serviceCounts };
    return true;
  }
  if (in.__isset.configurationRequest) {
    const wire::ConfigurationRequest& request = in.configurationRequest;
    body = ConfigurationRequest{ static_cast<std::uint64_t>(request.have),
                                 static_cast<std::uint64_t>(request.want),
                                 toUnsigned(request.offset) };
    return true;
  }
  if (in.__isset.configurationPart) {
    const wire::ConfigurationPart& part = in.configurationPart;
    body = ConfigurationPart{ static_cast<std::uint64_t>(part.base),
                              static_cast<std::uint64_t>(part.revision),
                              toUnsigned(part.offset),
                              toUnsigned(part.total),
                              part.text };
    return true;
  }
  return false;
}

}

std::string
encodeEnvelope(const PeerMessage& message)
{
  wire::Envelope envelope;
  envelope.header.incarnation = internal::toSigned(message.header.incarnation);
  envelope.header.phase = static_cast<std::int8_t>(message.header.phase);
  envelope.header.revision = static_cast<std::int64_t>(message.header.revision);
  envelope.header.statesVersion =
    internal::toSigned(message.header.statesVersion);
  std::visit(internal::BodyWriter{ envelope.body }, message.body);
  return internal::encodeCompact(envelope);
}

bool
decodeEnvelope(std::span<const std::uint8_t> bytes, PeerMessage& message)
{
  wire::Envelope envelope;
  if (!internal::decodeCompact(bytes, envelope)) {
    return false;
  }
  const wire::Header& header = envelope.header;
  message.header.incarnation = internal::toUnsigned(header.incarnation);
  message.header.revision = static_cast<std::uint64_t>(header.revision);
  message.header.statesVersion = internal::toUnsigned(header.statesVersion);
  return internal::readEnum(
           header.phase, Phase::stopped, message.header.phase) &&
         internal::readBody(envelope.body, message.body);
}

PeerCodec::PeerCodec(const FleetKey& key, std::uint64_t firstCounter)
  : authenticator(key, internal::kFormatVersion, firstCounter)
{
}

std::vector<std::uint8_t>
PeerCodec::seal(const PeerMessage& message)
{
  return this->authenticator.seal(message.header.sender,
                                  encodeEnvelope(message));
}

PeerFault
PeerCodec::open(std::span<const std::uint8_t> datagram, PeerMessage& message)
{
  SealedBody body;
  const PeerFault fault = this->authenticator.open(datagram, body);
  if (fault != PeerFault::none) {
    return fault;
  }
  message.header.sender = body.sender;
  return decodeEnvelope(body.bytes, message) ? PeerFault::none
                                             : PeerFault::malformed;
}

}
