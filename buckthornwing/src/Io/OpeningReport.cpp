#include "OpeningReport.h"

#include "../Steering/PlacementPolicy.h"
#include "../Steering/TargetEligibility.h"
#include "Error.h"
#include "ReportFields.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

namespace buckthornwing {
namespace internal {

boost::leaf::result<Endpoint>
readEndpoint(std::string_view target, std::string_view name)
{
  const std::string text(queryText(target, name).value_or(""));
  const auto endpoint = parseEndpoint(text);
  if (!endpoint) {
    return boost::leaf::new_error(
      Error{ "read " + std::string(name), text, "expected address:port" });
  }
  return *endpoint;
}

/// \returns what decides whether a target gets a new flow of a service.
boost::json::object
describeCandidate(const TagBlackboard& board,
                  ServiceSlot service,
                  TargetSlot slot,
                  MilliTime now)
{
  const KnownTarget& target = board.registry.at(slot);
  const TargetRecord& record = target.record;
  const EstimatedLoad load = estimateLoad(board, slot);
  boost::json::object fields{
    { "id", record.id },
    { "zone", record.zone },
    { "own_zone", record.zone == board.settings.zone },
    { "slots", record.slots },
    { "flows", load.flows },
    { "busy", load.busy },
    { "placement_load", placementLoad(board, slot) },
    { "queued_rounds", queuedRounds(board, slot) },
    { "relative_service_time", board.observer.load(slot).relativeServiceTime },
    { "avoided", board.isAvoided(slot, now) },
    { "dead", board.healthState(slot) == HealthState::dead }
  };
  if (target.isCold(now)) {
    fields["warm_in_ms"] = target.remainingWarmup(now).ms;
  }
  if (const auto reason = reasonAgainst(board, service, slot, now)) {
    fields["excluded"] = steeringReasonName(*reason);
  }
  return fields;
}

/// \returns what decides whether a new flow is refused by priority.
/// \param target the target that placement chose
boost::json::object
describeAdmission(const AdmissionController& admission,
                  const Route& route,
                  ServiceSlot service,
                  TargetSlot target)
{
  boost::json::object fields;
  const auto rounds = admission.queuedRounds(service);
  fields["queued_rounds"] =
    rounds ? boost::json::value(*rounds) : boost::json::value(nullptr);
  if (target != kNoTargetSlot) {
    fields["refusal_probability"] =
      admission.refusalProbability(route, service, target);
  }
  return fields;
}

/// \brief Writes the route, the service and its candidates.
void
describeRoute(const TagEngine& engine,
              const SteeringDecision& decision,
              const FlowKey& flow,
              MilliTime now,
              boost::json::object& report)
{
  const TagBlackboard& board = engine.board();
  const Route& route = *decision.route;
  report["route"] = route.name;
  report["priority"] = route.priority;
  const FlowId id = flowIdOf(flow, board.settings.tagSecret);
  const ServiceSlot service = chooseService(route, id);
  if (service == kNoServiceSlot) {
    return;
  }
  report["service"] = board.routes.routes().services[service].name;
  report["admission"] = describeAdmission(
    engine.admissionControl(), route, service, decision.target);
  boost::json::array candidates;
  for (const TargetSlot slot : board.pools.targetsOf(service)) {
    candidates.push_back(describeCandidate(board, service, slot, now));
  }
  report["candidates"] = std::move(candidates);
}

}

boost::leaf::result<FlowKey>
parseExplainQuery(std::string_view target)
{
  FlowKey flow;
  BOOST_LEAF_ASSIGN(flow.destination,
                    internal::readEndpoint(target, "destination"));
  BOOST_LEAF_ASSIGN(flow.source, internal::readEndpoint(target, "caller"));
  return flow;
}

std::string
formatOpeningReport(const TagEngine& engine, const FlowKey& flow, MilliTime now)
{
  const TagBlackboard& board = engine.board();
  const SteeringDecision decision = engine.previewOpening(flow, now);
  boost::json::object report;
  report["flow"] = formatFlowKey(flow);
  report["instance"] = board.settings.id;
  report["zone"] = board.settings.zone;
  report["outcome"] = steeringOutcomeName(decision.outcome);
  report["reason"] = steeringReasonName(decision.reason);
  if (decision.target != kNoTargetSlot) {
    report["target"] = board.registry.at(decision.target).record.id;
  }
  report["targets_revision"] = board.registry.position().revision;
  report["targets_age_ms"] = internal::ageOrNull(board.targetsConfirmedAt, now);
  report["routes_version"] = board.routes.version();
  report["routes_age_ms"] = internal::ageOrNull(board.routesConfirmedAt, now);
  report["evacuated_zones"] = internal::evacuatedZones(board);
  if (decision.route != nullptr) {
    internal::describeRoute(engine, decision, flow, now, report);
  }
  return boost::json::serialize(report);
}

HttpResponse
explainOpening(const TagEngine& engine,
               const std::string& target,
               MilliTime now)
{
  constexpr unsigned kBadRequest = 400;
  const auto refuse = [](const std::string& problem) {
    return HttpResponse{ kBadRequest, "text/plain", problem + "\n", {} };
  };
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<HttpResponse> {
      BOOST_LEAF_AUTO(flow, parseExplainQuery(target));
      return HttpResponse{
        200, "application/json", formatOpeningReport(engine, flow, now), {}
      };
    },
    [&](const Error& error) { return refuse(formatError(error)); },
    [&] { return refuse("malformed query"); });
}

}
