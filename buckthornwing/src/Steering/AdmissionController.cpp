#include "AdmissionController.h"

#include "PlacementPolicy.h"
#include "TargetEligibility.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace buckthornwing {
namespace internal {

/// \brief Rounds by which the queue in another zone must be shorter to count:
/// the round trip between zones takes about as long as one request.
constexpr double kCrossingRounds = 1;
/// \brief Time without a refusal after which an overload has ended.
constexpr MilliDuration kOverloadEnd{ 2000 };
/// \brief Makes this choice independent of others by the same hash.
constexpr std::uint64_t kAdmissionSalt = 0x61646d6974;

/// \returns the least of the other zones' rounds; nothing if there is no other
/// zone with targets.
std::optional<double>
leastRounds(const std::map<std::string_view, ZoneQueue>& zones,
            std::string_view ownZone)
{
  std::optional<double> least;
  for (const auto& [zone, queue] : zones) {
    const std::optional<double> rounds =
      zone == ownZone ? std::nullopt : queue.rounds();
    if (rounds && (!least || *rounds < *least)) {
      least = rounds;
    }
  }
  return least;
}

/// \returns the queue that a new request meets, in the own zone or in another
/// one.
double
bestRounds(const std::map<std::string_view, ZoneQueue>& zones,
           std::string_view ownZone)
{
  const auto found = zones.find(ownZone);
  const std::optional<double> own =
    found == zones.end() ? std::nullopt : found->second.rounds();
  const std::optional<double> other = leastRounds(zones, ownZone);
  if (!own) {
    return other.value_or(0);
  }
  return other ? std::min(*own, *other + kCrossingRounds) : *own;
}

}

void
AdmissionController::onNewRoutes()
{
  const RouteTable& table = this->board.routes.routes();
  this->routesVersion = table.version;
  this->services.resize(table.services.size());
  std::vector<std::optional<std::uint32_t>> priorities(table.services.size());
  for (ServiceState& state : this->services) {
    state.hasPriorities = false;
  }
  for (const Route& route : table.routes) {
    for (const WeightedService& share : route.services) {
      std::optional<std::uint32_t>& first = priorities[share.service];
      const bool differs = first && *first != route.priority;
      this->services[share.service].hasPriorities |= differs;
      first = first.value_or(route.priority);
    }
  }
}

void
AdmissionController::tick(MilliTime now)
{
  if (!this->board.settings.policy.admitsByPriority || !this->board.hasView()) {
    return;
  }
  if (this->routesVersion != this->board.routes.version()) {
    this->onNewRoutes();
  }
  for (ServiceSlot service = 0; service < this->services.size(); ++service) {
    if (this->services[service].hasPriorities) {
      this->services[service].queue = this->queueOf(service, now);
    }
    this->reportEnd(service, now);
  }
}

ServiceQueue
AdmissionController::queueOf(ServiceSlot service, MilliTime now) const
{
  std::map<std::string_view, ZoneQueue> zones;
  std::vector<ServiceTimeEstimate> times;
  for (const TargetSlot slot : this->board.pools.targetsOf(service)) {
    const bool isUsable = !this->board.isAvoided(slot, now) &&
                          !reasonAgainst(this->board, service, slot, now);
    if (!isUsable) {
      continue;
    }
    const TargetLoad& load = this->board.observer.load(slot);
    const TargetRecord& record = this->board.registry.at(slot).record;
    ZoneQueue& queue = zones[record.zone];
    queue.slots += slotsOf(record) / load.relativeServiceTime;
    queue.busy += load.busy + load.peerBusy;
    times.push_back(serviceTimeOf(load, now));
  }
  return { internal::bestRounds(zones, this->board.settings.zone),
           medianServiceMs(times) };
}

bool
AdmissionController::isActive(ServiceSlot service) const
{
  return service < this->services.size() &&
         this->services[service].hasPriorities;
}

std::optional<double>
AdmissionController::queuedRounds(ServiceSlot service) const
{
  if (!this->isActive(service)) {
    return std::nullopt;
  }
  return this->services[service].queue.rounds;
}

double
AdmissionController::refusalProbability(const Route& route,
                                        ServiceSlot service,
                                        TargetSlot target) const
{
  const bool hasQueue = this->isActive(service) &&
                        buckthornwing::queuedRounds(this->board, target) > 0;
  if (!hasQueue) {
    return 0;
  }
  const ServiceState& state = this->services[service];
  AdmissionRequest request;
  if (route.timeout.ms > 0) {
    request.timeout = route.timeout;
  }
  request.moreUrgent = state.demand.countMoreUrgent(route.priority);
  for (const Route& other : this->board.routes.routes().routes) {
    const bool competes = other.priority < route.priority &&
                          other.latencyObjective.ms > 0 &&
                          std::any_of(other.services.begin(),
                                      other.services.end(),
                                      [service](const WeightedService& share) {
                                        return share.service == service;
                                      });
    if (competes && (!request.urgentObjective ||
                     other.latencyObjective < *request.urgentObjective)) {
      request.urgentObjective = other.latencyObjective;
    }
  }
  return buckthornwing::refusalProbability(request, state.queue);
}

bool
AdmissionController::refuses(const Route& route,
                             ServiceSlot service,
                             TargetSlot target,
                             FlowId flow) const
{
  const double probability = this->refusalProbability(route, service, target);
  return probability > 0 &&
         Random{ mixWords(flow.bits, internal::kAdmissionSalt) }.unit() <
           probability;
}

void
AdmissionController::record(const Route& route,
                            ServiceSlot service,
                            bool isRefused,
                            MilliTime now)
{
  if (!this->isActive(service)) {
    return;
  }
  ServiceState& state = this->services[service];
  state.demand.add(route.priority, now);
  if (!isRefused) {
    return;
  }
  ++state.refused;
  ++this->board.counters.refusedByPriority[route.priority];
  state.refusedAt = now;
  if (!state.isOverloaded) {
    state.isOverloaded = true;
    this->board.events.push_back(
      { TagEventKind::overloadBegan,
        this->board.routes.routes().services[service].name,
        0,
        0,
        "priority " + std::to_string(route.priority) + ", " +
          std::to_string(state.queue.rounds) + " rounds queued" });
  }
}

void
AdmissionController::reportEnd(ServiceSlot service, MilliTime now)
{
  ServiceState& state = this->services[service];
  if (!state.isOverloaded || now - state.refusedAt < internal::kOverloadEnd) {
    return;
  }
  this->board.events.push_back(
    { TagEventKind::overloadEnded,
      this->board.routes.routes().services[service].name,
      0,
      0,
      std::to_string(state.refused) + " flows refused" });
  state.isOverloaded = false;
  state.refused = 0;
}

}
