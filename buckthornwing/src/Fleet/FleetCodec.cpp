#include "FleetCodec.h"

#include "../Core/Hash.h"
#include "../Peer/CompactCodec.h"
#include "../Peer/WireMember.h"
#include "ViewWire.h"
#include "generated/fleet_types.h"

namespace buckthornwing {
namespace internal {

constexpr std::uint8_t kFleetWireVersion = 1;
constexpr std::size_t kKeyBytes = 4;
constexpr std::size_t kLivenessBytes = kKeyBytes + 1;
constexpr MilliDuration kLivenessUnit{ 40 };
/// \brief Message counters start at 0 in each run, because the sender's tag
/// differs for each run.
constexpr std::uint64_t kFirstCounter = 0;

fleetwire::Member
toWire(const FleetMember& member)
{
  fleetwire::Member out;
  writeMember(member, out);
  out.incarnation = static_cast<std::int64_t>(member.incarnation);
  out.stopping = member.stopping;
  out.hasView = member.hasView;
  if (member.capacityClass > 0) {
    out.__set_capacityClass(static_cast<std::int8_t>(member.capacityClass));
  }
  return out;
}

bool
fromWire(const fleetwire::Member& in, FleetMember& out)
{
  if (!readMember(in, out)) {
    return false;
  }
  out.incarnation = static_cast<std::uint64_t>(in.incarnation);
  out.stopping = in.stopping;
  out.hasView = in.hasView;
  out.capacityClass =
    in.__isset.capacityClass
      ? static_cast<std::uint8_t>(std::max<std::int8_t>(in.capacityClass, 0))
      : 0;
  return true;
}

constexpr double kTenthsPerMs = 10;
/// \brief Highest service time in ms that is sent; its tenths fit into 32 bits.
constexpr double kMaxServiceMs = 1'000'000;

/// \returns a time in ms in whole tenths, limited to a plausible range.
std::int32_t
toTenths(double ms)
{
  return static_cast<std::int32_t>(std::clamp(ms, 0.0, kMaxServiceMs) *
                                   kTenthsPerMs);
}

fleetwire::TargetReport
toWire(const TargetReport& report)
{
  fleetwire::TargetReport out;
  out.target = static_cast<std::int32_t>(report.target);
  out.flows = report.flows;
  out.busy = report.busy;
  out.silentFlows = report.silentFlows;
  if (report.sinceProgress) {
    out.__set_sinceProgressMs(toWireMs(*report.sinceProgress));
  }
  out.dead = report.dead;
  if (report.serviceMs) {
    out.__set_serviceTenthMs(toTenths(*report.serviceMs));
  }
  if (report.totalFlows) {
    out.__set_totalFlows(*report.totalFlows);
  }
  if (report.totalBusy) {
    out.__set_totalBusy(*report.totalBusy);
  }
  return out;
}

TargetReport
fromWire(const fleetwire::TargetReport& in)
{
  TargetReport out;
  out.target = static_cast<ShortTargetKey>(in.target);
  out.flows = std::max(in.flows, 0);
  out.busy = std::max(in.busy, 0);
  out.silentFlows = std::max(in.silentFlows, 0);
  if (in.__isset.sinceProgressMs) {
    out.sinceProgress = MilliDuration{ in.sinceProgressMs };
  }
  out.dead = in.dead;
  if (in.__isset.serviceTenthMs) {
    out.serviceMs = std::max(in.serviceTenthMs, 0) / kTenthsPerMs;
  }
  if (in.__isset.totalFlows) {
    out.totalFlows = std::max(in.totalFlows, 0);
  }
  if (in.__isset.totalBusy) {
    out.totalBusy = std::max(in.totalBusy, 0);
  }
  return out;
}

void
appendKey(std::uint32_t key, std::string& bytes)
{
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes += static_cast<char>(key >> shift & 0xff);
  }
}

std::uint32_t
readKey(std::string_view bytes)
{
  std::uint32_t key = 0;
  for (const char each : bytes.substr(0, kKeyBytes)) {
    key = key << 8 | static_cast<std::uint8_t>(each);
  }
  return key;
}

std::string
encodeLiveness(std::span<const MemberLiveness> liveness)
{
  std::string bytes;
  bytes.reserve(liveness.size() * kLivenessBytes);
  for (const MemberLiveness& entry : liveness) {
    appendKey(entry.key, bytes);
    const std::int64_t units = entry.sinceHeard.ms / kLivenessUnit.ms;
    bytes += static_cast<char>(std::clamp<std::int64_t>(units, 0, 0xff));
  }
  return bytes;
}

bool
decodeLiveness(std::string_view bytes, std::vector<MemberLiveness>& liveness)
{
  if (bytes.size() % kLivenessBytes != 0) {
    return false;
  }
  for (std::size_t at = 0; at < bytes.size(); at += kLivenessBytes) {
    MemberLiveness entry;
    entry.key = readKey(bytes.substr(at));
    const auto units = static_cast<std::uint8_t>(bytes[at + kKeyBytes]);
    // Rounded up, so that no reported age becomes lower by the encoding.
    entry.sinceHeard.ms = (units + 1) * kLivenessUnit.ms;
    liveness.push_back(entry);
  }
  return true;
}

/// \brief Visitor that writes a message body into the Thrift union.
struct FleetBodyWriter
{
  fleetwire::Body& out;

  void operator()(const FleetHeartbeat& body) const
  {
    fleetwire::Heartbeat heartbeat;
    heartbeat.view = toWire(body.view);
    for (const GossipedMember& known : body.members) {
      fleetwire::Gossip gossip;
      gossip.member = toWire(known.member);
      gossip.heardAgoMs = toWireMs(known.sinceHeard);
      heartbeat.members.push_back(std::move(gossip));
    }
    for (const TargetReport& report : body.reports) {
      heartbeat.reports.push_back(toWire(report));
    }
    heartbeat.signs = encodeLiveness(body.liveness);
    this->out.__set_heartbeat(heartbeat);
  }

  void operator()(const ViewRequest& body) const
  {
    fleetwire::ViewRequest request;
    request.content = static_cast<std::int8_t>(body.content);
    request.have = static_cast<std::int64_t>(body.have);
    request.transfer = static_cast<std::int64_t>(body.transfer);
    request.offset = static_cast<std::int32_t>(body.offset);
    if (body.era) {
      request.__set_era(static_cast<std::int64_t>(*body.era));
    }
    this->out.__set_viewRequest(request);
  }

  void operator()(const ViewPart& body) const
  {
    fleetwire::ViewPart part;
    part.transfer = static_cast<std::int64_t>(body.transfer);
    part.offset = static_cast<std::int32_t>(body.offset);
    part.total = static_cast<std::int32_t>(body.total);
    part.bytes = body.bytes;
    part.content = static_cast<std::int8_t>(body.content);
    this->out.__set_viewPart(part);
  }

  void operator()(const MemberRequest& body) const
  {
    fleetwire::MemberRequest request;
    for (const std::uint32_t key : body.keys) {
      appendKey(key, request.keys);
    }
    this->out.__set_memberRequest(request);
  }
};

bool
readKeys(std::string_view bytes, std::vector<std::uint32_t>& keys)
{
  if (bytes.size() % kKeyBytes != 0) {
    return false;
  }
  for (std::size_t at = 0; at < bytes.size(); at += kKeyBytes) {
    keys.push_back(readKey(bytes.substr(at)));
  }
  return true;
}

bool
readContent(std::int8_t in, ViewContent& out)
{
  out = static_cast<ViewContent>(in);
  return in >= 0 && in <= static_cast<std::int8_t>(ViewContent::routes);
}

bool
readHeartbeat(const fleetwire::Heartbeat& in, FleetHeartbeat& out)
{
  out.view = fromWire(in.view);
  for (const fleetwire::Gossip& gossip : in.members) {
    GossipedMember known;
    if (!fromWire(gossip.member, known.member)) {
      return false;
    }
    known.sinceHeard.ms = std::max(gossip.heardAgoMs, 0);
    out.members.push_back(std::move(known));
  }
  for (const fleetwire::TargetReport& report : in.reports) {
    out.reports.push_back(fromWire(report));
  }
  return decodeLiveness(in.signs, out.liveness);
}

bool
readFleetBody(const fleetwire::Body& in, FleetMessage& out)
{
  if (in.__isset.heartbeat) {
    return readHeartbeat(in.heartbeat, out.body.emplace<FleetHeartbeat>());
  }
  if (in.__isset.viewRequest) {
    auto& request = out.body.emplace<ViewRequest>();
    request.have = static_cast<std::uint64_t>(in.viewRequest.have);
    request.transfer = static_cast<std::uint64_t>(in.viewRequest.transfer);
    request.offset = static_cast<std::uint32_t>(in.viewRequest.offset);
    if (in.viewRequest.__isset.era) {
      request.era = static_cast<StoreEra>(in.viewRequest.era);
    }
    return readContent(in.viewRequest.content, request.content);
  }
  if (in.__isset.memberRequest) {
    return readKeys(in.memberRequest.keys,
                    out.body.emplace<MemberRequest>().keys);
  }
  if (!in.__isset.viewPart || in.viewPart.offset < 0 || in.viewPart.total < 0) {
    return false;
  }
  auto& part = out.body.emplace<ViewPart>();
  part.transfer = static_cast<std::uint64_t>(in.viewPart.transfer);
  part.offset = static_cast<std::uint32_t>(in.viewPart.offset);
  part.total = static_cast<std::uint32_t>(in.viewPart.total);
  part.bytes = in.viewPart.bytes;
  return readContent(in.viewPart.content, part.content);
}

std::uint32_t
senderTag(const FleetMember& sender)
{
  return instanceRunId(sender.id, sender.incarnation);
}

}

FleetCodec::FleetCodec(const FleetKey& key)
  : authenticator(key, internal::kFleetWireVersion, internal::kFirstCounter)
{
}

std::vector<std::uint8_t>
FleetCodec::seal(const FleetMessage& message)
{
  return this->authenticator.seal(internal::senderTag(message.sender),
                                  encodeFleetMessage(message));
}

PeerFault
FleetCodec::open(std::span<const std::uint8_t> datagram, FleetMessage& message)
{
  SealedBody body;
  const PeerFault fault = this->authenticator.open(datagram, body);
  if (fault != PeerFault::none) {
    return fault;
  }
  const bool isValid = decodeFleetMessage(body.bytes, message) &&
                       internal::senderTag(message.sender) == body.sender;
  return isValid ? PeerFault::none : PeerFault::malformed;
}

std::string
encodeFleetMessage(const FleetMessage& message)
{
  fleetwire::Envelope envelope;
  envelope.sender = internal::toWire(message.sender);
  std::visit(internal::FleetBodyWriter{ envelope.body }, message.body);
  return internal::encodeCompact(envelope);
}

bool
decodeFleetMessage(std::span<const std::uint8_t> bytes, FleetMessage& message)
{
  fleetwire::Envelope envelope;
  return internal::decodeCompact(bytes, envelope) &&
         internal::fromWire(envelope.sender, message.sender) &&
         internal::readFleetBody(envelope.body, message);
}

}
