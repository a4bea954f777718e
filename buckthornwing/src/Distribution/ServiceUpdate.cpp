#include "ServiceUpdate.h"

#include "../Config/LabelIndex.h"
#include "../Core/Assert.h"

#include <algorithm>

namespace buckthornwing {
namespace internal {

/// \brief Start of service of the targets in the first configuration: an hour
/// before the clock's start, so that they count as warmed up.
constexpr MilliTime kServingBeforeStart{ -3600000 };

TargetIndex
findOrAddTarget(Blackboard& board, const TargetConfig& config)
{
  const std::uint32_t tag = targetTag(config.id);
  const auto found = board.targetByTag.find(tag);
  if (found != board.targetByTag.end()) {
    return found->second;
  }
  BUCKTHORNWING_REQUIRE(board.targets.size() < kNoTargetIndex);
  const auto index = static_cast<TargetIndex>(board.targets.size());
  board.targets.emplace_back();
  board.targets.back().tag = tag;
  board.targetByTag.emplace(tag, index);
  return index;
}

void
updateTargets(Blackboard& board,
              const Configuration& configuration,
              MilliTime now)
{
  const bool first = board.view.revision == 0;
  std::vector<bool> wasServing(board.targets.size());
  for (std::size_t i = 0; i < board.targets.size(); ++i) {
    wasServing[i] = board.targets[i].serving();
    board.targets[i].published = false;
  }
  board.publishedTargets.clear();
  for (const TargetConfig& config : configuration.targets) {
    const TargetIndex index = findOrAddTarget(board, config);
    Target& target = board.targets[index];
    const bool servedBefore = index < wasServing.size() && wasServing[index];
    target.config = config;
    target.published = true;
    board.publishedTargets.push_back(index);
    if (!servedBefore && target.serving()) {
      target.servingSince = first ? kServingBeforeStart : now;
    }
  }
}

ServiceIndex
findOrAddService(Blackboard& board, const std::string& name)
{
  const std::uint32_t tag = serviceTag(name);
  const auto found = board.serviceByTag.find(tag);
  if (found != board.serviceByTag.end()) {
    return found->second;
  }
  BUCKTHORNWING_REQUIRE(board.services.size() < kNoServiceIndex);
  const auto index = static_cast<ServiceIndex>(board.services.size());
  board.services.emplace_back();
  board.services.back().tag = tag;
  board.serviceByTag.emplace(tag, index);
  return index;
}

std::vector<TargetIndex>
toIndices(const Blackboard& board,
          const Configuration& configuration,
          const Selection& selection)
{
  std::vector<TargetIndex> indices;
  for (const std::size_t position : selection) {
    const std::uint32_t tag = targetTag(configuration.targets[position].id);
    indices.push_back(board.targetByTag.at(tag));
  }
  return indices;
}

/// \returns the lookup table of a service over its serving targets.
std::vector<TargetIndex>
buildServiceTable(const Blackboard& board,
                  const Service& service,
                  std::uint64_t hashSeed)
{
  std::vector<std::string_view> ids;
  for (const TargetIndex target : service.serving) {
    ids.emplace_back(board.targets[target].config.id);
  }
  std::vector<TargetIndex> table =
    buildLookupTable(ids, bucketCountFor(ids.size()), hashSeed ^ service.tag);
  for (TargetIndex& entry : table) {
    entry = entry == kNoTarget ? kNoTargetIndex : service.serving[entry];
  }
  return table;
}

/// \returns whether a bucket is flexible: its owner always places its flows by
/// load. Decided by a hash, so all instances agree.
/// \param share share of the buckets that are flexible
bool
isFlexible(const Service& service, BucketIndex bucket, double share)
{
  constexpr double kScale = 4294967296.0;
  const std::uint64_t draw = mixWords(bucket, service.tag) & 0xffffffffU;
  return static_cast<double>(draw) < share * kScale;
}

double
flexibleShare(const Blackboard& board, const Service& service)
{
  const PolicySettings& policy = board.settings.policy;
  return service.config.balance == Balance::spread ? policy.flexibleShareSpread
                                                   : policy.flexibleShareSticky;
}

/// \brief Sets a table without a predecessor, and clears the flags of all
/// buckets but for the flexible ones.
void
initializeTable(Service& service, std::vector<TargetIndex> table, double share)
{
  service.mayHaveFlags = true;
  service.table = std::move(table);
  service.previousTable = service.table;
  service.flags.assign(service.table.size(), 0);
  for (BucketIndex b = 0; b < service.bucketCount(); ++b) {
    if (isFlexible(service, b, share)) {
      service.flags[b] = bucket_flag::kFlexible;
    }
  }
}

/// \brief Replaces a table and flags each bucket whose target changes.
void
replaceTable(Service& service,
             std::vector<TargetIndex> table,
             double share,
             MilliTime now)
{
  if (table.size() != service.table.size()) {
    // The bucket of a flow depends on the table's size, so any flow may be away
    // from its table target.
    std::vector<TargetIndex> previousTable = std::move(service.table);
    initializeTable(service, std::move(table), share);
    service.previousTable = std::move(previousTable);
    for (std::uint8_t& flags : service.flags) {
      flags |= bucket_flag::kPending;
    }
    service.unsettledSince = now;
    return;
  }
  service.mayHaveFlags = true;
  const std::uint8_t unsettled =
    bucket_flag::kPending | bucket_flag::kMovedByRevision;
  bool anyUnsettled = false;
  for (BucketIndex b = 0; b < table.size(); ++b) {
    const bool settled = (service.flags[b] & unsettled) == 0;
    const bool moves = table[b] != service.table[b];
    anyUnsettled = anyUnsettled || !settled;
    if (settled) {
      service.previousTable[b] = service.table[b];
    }
    if (settled && moves) {
      service.flags[b] |= bucket_flag::kPending;
    }
  }
  if (!anyUnsettled) {
    service.unsettledSince = now;
  }
  service.table = std::move(table);
}

void
updateLimits(Service& service, std::size_t owners)
{
  // Rendezvous hashing distributes slots unevenly; twice the even share covers
  // that.
  constexpr double kShareMargin = 2;
  constexpr double kMinRelays = 200; // per second
  constexpr double kUnlimited = 1e9;
  if (service.config.maxNewFlowsPerSecond == 0) {
    service.newFlows.configure(kUnlimited, kUnlimited);
    service.relays.configure(kUnlimited, kUnlimited);
    return;
  }
  const double perOwner =
    static_cast<double>(service.config.maxNewFlowsPerSecond) * kShareMargin /
    static_cast<double>(owners);
  service.newFlows.configure(perOwner, perOwner + 1);
  const double relays = perOwner * kShareMargin + kMinRelays;
  service.relays.configure(relays, relays);
}

void
updateService(Blackboard& board,
              const Configuration& configuration,
              const LabelIndex& labels,
              const ServiceConfig& config,
              MilliTime now)
{
  const ServiceIndex index = findOrAddService(board, config.name);
  board.publishedServices.push_back(index);
  Service& service = board.services[index];
  std::optional<Selector> lastValidSelector =
    std::move(service.config.selector);
  service.config = config;
  service.published = true;
  service.selectorInvalid = !config.selector.has_value();
  if (service.selectorInvalid) {
    service.config.selector = std::move(lastValidSelector);
  }
  service.selected =
    toIndices(board, configuration, labels.select(service.config));
  std::vector<TargetIndex> serving = service.selected;
  std::erase_if(serving, [&](TargetIndex target) {
    return !board.targets[target].serving();
  });
  updateLimits(service, board.ownerCount());
  const bool sameTable = !service.table.empty() && serving == service.serving &&
                         configuration.hashSeed == board.view.hashSeed;
  service.serving = std::move(serving);
  if (sameTable) {
    return;
  }
  std::vector<TargetIndex> table =
    buildServiceTable(board, service, configuration.hashSeed);
  const double share = flexibleShare(board, service);
  if (service.table.empty()) {
    initializeTable(service, std::move(table), share);
    if (board.view.revision == 0) {
      // Peers may have placed flows under revisions before this instance's
      // first.
      for (std::uint8_t& flags : service.flags) {
        flags |= bucket_flag::kUnverified;
      }
    }
  } else {
    replaceTable(service, std::move(table), share, now);
  }
}

/// \brief Removes all targets of a service that is no longer published.
void
unpublishService(Service& service, MilliTime now)
{
  service.published = false;
  service.selected.clear();
  service.serving.clear();
  std::vector<TargetIndex> none(service.table.size(), kNoTargetIndex);
  replaceTable(service, std::move(none), 0, now);
}

void
mapEndpoints(Blackboard& board, ServiceIndex index)
{
  const ServiceConfig& config = board.services[index].config;
  for (const IpAddress& address : config.addresses) {
    for (const std::uint16_t port : config.ports) {
      board.endpoints[{ { address, port }, config.protocol }] = index;
    }
  }
}

/// \brief Maps endpoints to services; published services take precedence.
void
updateEndpoints(Blackboard& board)
{
  for (const bool published : { false, true }) {
    for (std::size_t i = 0; i < board.services.size(); ++i) {
      if (board.services[i].published == published) {
        mapEndpoints(board, static_cast<ServiceIndex>(i));
      }
    }
  }
}

}

void
updateServices(Blackboard& board,
               const Configuration& configuration,
               MilliTime now)
{
  internal::updateTargets(board, configuration, now);
  for (Service& service : board.services) {
    service.published = false;
  }
  board.publishedServices.clear();
  const LabelIndex labels(configuration);
  for (const ServiceConfig& config : configuration.services) {
    internal::updateService(board, configuration, labels, config, now);
  }
  for (Service& service : board.services) {
    if (!service.published) {
      internal::unpublishService(service, now);
    }
  }
  internal::updateEndpoints(board);
}

void
commitServices(Blackboard& board)
{
  for (Service& service : board.services) {
    if (!service.mayHaveFlags) {
      continue;
    }
    for (std::uint8_t& flags : service.flags) {
      if ((flags & bucket_flag::kPending) != 0) {
        flags &= static_cast<std::uint8_t>(~bucket_flag::kPending);
        flags |= bucket_flag::kMovedByRevision;
      }
    }
  }
}

}
