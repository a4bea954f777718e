#include "AdmissionController.h"

#include "../Admission/ZoneQueue.h"
#include "FlowSample.h"
#include "PlacementPolicy.h"
#include "TargetEligibility.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace buckthornwing {
namespace internal {

/// \brief Rounds by which a queue in another zone must be shorter to count: the
/// round trip between zones takes about as long as one request.
constexpr double kCrossingRounds = 1;
/// \brief Time without a refusal after which an overload has ended.
constexpr MilliDuration kOverloadEnd{ 2000 };
/// \brief Time from an instance's first complete view until it knows the loads.
/// Nothing is refused in it: the queue that an outage of all instances leaves
/// behind is served meanwhile.
constexpr MilliDuration kTimeToKnowLoads{ 3000 };
/// \brief Salt of sampleOf().
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

/// \returns the rounds of requests queued before a new one, in the own zone or
/// in another one; 0 if no zone has targets.
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
  if (!other) {
    return *own;
  }
  // A free slot counts in any zone: nothing is refused while there is room.
  return *other > 0 ? std::min(*own, *other + kCrossingRounds) : 0;
}

}

void
AdmissionController::ServiceState::addRoute(const Route& route)
{
  std::optional<MilliDuration>& least = this->objectives[route.priority];
  const bool hasObjective = route.latencyObjective.ms > 0;
  if (hasObjective && (!least || route.latencyObjective < *least)) {
    least = route.latencyObjective;
  }
}

std::optional<MilliDuration>
AdmissionController::ServiceState::objectiveAbove(std::uint32_t priority) const
{
  std::optional<MilliDuration> least;
  for (const auto& [each, objective] : this->objectives) {
    const bool isMoreUrgent = each < priority;
    if (isMoreUrgent && objective && (!least || *objective < *least)) {
      least = objective;
    }
  }
  return least;
}

void
AdmissionController::onNewRoutes()
{
  const RouteTable& table = this->board.routes.routes();
  this->routesVersion = table.version;
  // A service may have another slot than before.
  std::map<std::string, ServiceState> known;
  for (ServiceState& state : this->services) {
    state.objectives.clear();
    known.insert_or_assign(state.name, std::move(state));
  }
  this->services.clear();
  for (const SelectedService& service : table.services) {
    auto state = known.extract(service.name);
    this->services.push_back(state.empty() ? ServiceState{}
                                           : std::move(state.mapped()));
    this->services.back().name = service.name;
  }
  for (auto& [name, removed] : known) {
    this->reportEnd(removed);
  }
  for (const Route& route : table.routes) {
    for (const WeightedService& share : route.services) {
      if (share.weight > 0) {
        this->services[share.service].addRoute(route);
      }
    }
  }
}

void
AdmissionController::tick(MilliTime now)
{
  if (!this->board.settings.policy.admitsByPriority || !this->board.hasView()) {
    return;
  }
  if (this->startedAt.ms == 0) {
    this->startedAt = now;
  }
  if (this->routesVersion != this->board.routes.version()) {
    this->onNewRoutes();
  }
  for (ServiceSlot service = 0; service < this->services.size(); ++service) {
    ServiceState& state = this->services[service];
    if (state.hasPriorities()) {
      this->updateQueue(service, now);
    }
    if (now - state.refusedAt >= internal::kOverloadEnd) {
      this->reportEnd(state);
    }
  }
}

const AdmissionController::ServiceState*
AdmissionController::find(ServiceSlot service) const
{
  const bool isKnown = this->routesVersion == this->board.routes.version() &&
                       service < this->services.size() &&
                       this->services[service].hasPriorities();
  return isKnown ? &this->services[service] : nullptr;
}

void
AdmissionController::updateQueue(ServiceSlot service, MilliTime now)
{
  ServiceState& state = this->services[service];
  state.queue = this->queueOf(service, now);
  if (now - this->startedAt < internal::kTimeToKnowLoads) {
    state.queue.rounds = 0;
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

std::optional<double>
AdmissionController::queuedRounds(ServiceSlot service) const
{
  const ServiceState* state = this->find(service);
  return state == nullptr ? std::nullopt : std::optional(state->queue.rounds);
}

double
AdmissionController::refusalProbability(const Route& route,
                                        ServiceSlot service,
                                        TargetSlot target) const
{
  const ServiceState* state = this->find(service);
  if (state == nullptr ||
      buckthornwing::queuedRounds(this->board, target) == 0) {
    return 0;
  }
  AdmissionRequest request;
  if (route.timeout.ms > 0) {
    request.timeout = route.timeout;
  }
  request.moreUrgent = state->demand.countMoreUrgent(route.priority);
  request.urgentObjective = state->objectiveAbove(route.priority);
  return buckthornwing::refusalProbability(request, state->queue);
}

bool
AdmissionController::refuses(const Route& route,
                             ServiceSlot service,
                             TargetSlot target,
                             FlowId flow) const
{
  const double probability = this->refusalProbability(route, service, target);
  return probability > 0 &&
         sampleOf(flow, internal::kAdmissionSalt) < probability;
}

void
AdmissionController::record(const Route& route,
                            ServiceSlot service,
                            bool isRefused,
                            MilliTime now)
{
  if (this->find(service) == nullptr) {
    return;
  }
  ServiceState& state = this->services[service];
  state.demand.add(route.priority, !isRefused, now);
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
        state.name,
        0,
        0,
        "priority " + std::to_string(route.priority) + ", " +
          std::to_string(state.queue.rounds) + " rounds queued" });
  }
}

void
AdmissionController::reportEnd(ServiceState& state)
{
  if (!state.isOverloaded) {
    return;
  }
  this->board.events.push_back(
    { TagEventKind::overloadEnded,
      state.name,
      0,
      0,
      std::to_string(state.refused) + " flows refused" });
  state.isOverloaded = false;
  state.refused = 0;
}

}
