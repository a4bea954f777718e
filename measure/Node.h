#ifndef BUCKTHORNWING_MEASURE_NODE_H
#define BUCKTHORNWING_MEASURE_NODE_H

#include <Config>
#include <Engine>

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace buckthornwing::measure {

/// \brief A policy's decision on a packet. Names the target by its id, which
/// has the same meaning in all policies.
struct NodeDecision
{
  Outcome outcome = Outcome::drop;
  Reason reason = Reason::none;
  std::string_view target;   ///< id of the target; set for Outcome::forward
  OutgoingMessage relayed{}; ///< message to a peer; set for Outcome::relay
};

/// \brief The interface of a load-balancing policy as one simulated instance
/// runs it.
template<typename T>
concept Node = requires(T node,
                        PacketBytes packet,
                        const PeerMessage& message,
                        std::string_view text,
                        const LoadReport& report,
                        MilliTime now)
{
  {
    node.onPacket(packet, now)
    } -> std::same_as<NodeDecision>;
  {
    node.onPeerMessage(message, now)
    } -> std::same_as<std::optional<NodeDecision>>;
  node.onConfiguration(text, now);
  node.onLoadReport(text, report, now);
  node.tick(now);
  {
    node.shouldWatchPlatform(now)
    } -> std::same_as<bool>;
  {
    node.revision()
    } -> std::same_as<std::uint64_t>;
  {
    node.outbox()
    } -> std::same_as<Outbox&>;
  node.requestStop(now);
  {
    node.readyToStop(now)
    } -> std::same_as<bool>;
};

/// \brief Runs Engine, the policy of this project.
class EngineNode
{
public:
  EngineNode(const EngineSettings& settings,
             std::uint32_t incarnation,
             std::uint64_t seed,
             MilliTime now)
    : engine(settings, incarnation, seed, now)
  {
  }

  NodeDecision onPacket(PacketBytes packet, MilliTime now)
  {
    return this->convert(this->engine.onPacket(packet, now), packet);
  }

  std::optional<NodeDecision> onPeerMessage(const PeerMessage& message,
                                            MilliTime now)
  {
    const auto decision = this->engine.onPeerMessage(message, now);
    if (!decision) {
      return std::nullopt;
    }
    return this->convert(*decision, std::get<Relay>(message.body).packet);
  }

  void onConfiguration(std::string_view text, MilliTime now)
  {
    this->engine.onConfiguration(text, now);
  }

  void onPlatformContact(MilliTime now) { this->engine.onPlatformContact(now); }

  void onLoadReport(std::string_view target,
                    const LoadReport& report,
                    MilliTime now)
  {
    this->engine.onLoadReport(target, report, now);
  }

  void tick(MilliTime now) { this->engine.tick(now); }
  bool shouldWatchPlatform(MilliTime now) const
  {
    return this->engine.shouldWatchPlatform(now);
  }
  std::uint64_t revision() const
  {
    return this->engine.blackboard().view.revision;
  }
  Outbox& outbox() { return this->engine.outbox(); }
  void requestStop(MilliTime now) { this->engine.requestStop(now); }
  bool readyToStop(MilliTime now) const
  {
    return this->engine.readyToStop(now);
  }
  void announceStopped(MilliTime now) { this->engine.announceStopped(now); }

  Engine engine;

private:
  NodeDecision convert(const Decision& decision, PacketBytes packet) const
  {
    NodeDecision result{ decision.outcome, decision.reason, {}, {} };
    const Blackboard& board = this->engine.blackboard();
    if (decision.outcome == Outcome::forward) {
      result.target = board.targets[decision.target].config.id;
    } else if (decision.outcome == Outcome::relay) {
      result.relayed = { board.members[decision.peer].address,
                         this->engine.relayMessage(decision, packet) };
    }
    return result;
  }
};

/// \brief The naive baseline policy: chooses a target by hashing the flow over
/// the currently selected targets and keeps it in a local flow table. Instances
/// share no state.
class NaiveNode
{
public:
  NaiveNode(const EngineSettings& /*settings*/,
            std::uint32_t /*incarnation*/,
            std::uint64_t /*seed*/,
            MilliTime /*now*/)
  {
  }

  NodeDecision onPacket(PacketBytes packet, MilliTime /*now*/)
  {
    const ParsedPacket parsed = parsePacket(packet);
    const ServiceConfig* service = nullptr;
    for (const ServiceConfig& candidate : this->configuration.services) {
      const bool matches =
        candidate.addresses.front() == parsed.key.destination.address;
      service = matches ? &candidate : service;
    }
    if (parsed.fault != ParseFault::none || service == nullptr) {
      return {};
    }
    const FlowId flow = flowIdOf(parsed.key, this->configuration.hashSeed);
    const auto known = this->flows.find(flow);
    if (known != this->flows.end()) {
      return { Outcome::forward, Reason::none, known->second, {} };
    }
    const auto& selection = this->selections[service->name];
    if (selection.empty()) {
      return { Outcome::refuse, Reason::noTarget, {}, {} };
    }
    const std::string& target = selection[flow.bits % selection.size()];
    this->flows.emplace(flow, target);
    return { Outcome::forward, Reason::none, target, {} };
  }

  std::optional<NodeDecision> onPeerMessage(const PeerMessage& /*message*/,
                                            MilliTime /*now*/)
  {
    return std::nullopt;
  }

  void onConfiguration(std::string_view text, MilliTime /*now*/)
  {
    ParsedConfiguration parsed = parseConfiguration(text);
    if (!parsed.fatalProblems.empty() ||
        parsed.configuration.revision <= this->configuration.revision) {
      return;
    }
    this->configuration = std::move(parsed.configuration);
    this->selections.clear();
    for (const ServiceConfig& service : this->configuration.services) {
      auto& ids = this->selections[service.name];
      for (const auto i : selectServingTargets(this->configuration, service)) {
        ids.push_back(this->configuration.targets[i].id);
      }
    }
  }

  void onPlatformContact(MilliTime /*now*/) {}
  void onLoadReport(std::string_view, const LoadReport&, MilliTime) {}
  void tick(MilliTime /*now*/) {}
  bool shouldWatchPlatform(MilliTime /*now*/) const { return true; }
  std::uint64_t revision() const { return this->configuration.revision; }
  Outbox& outbox() { return this->emptyOutbox; }
  void requestStop(MilliTime /*now*/) {}
  bool readyToStop(MilliTime /*now*/) const { return true; }
  void announceStopped(MilliTime /*now*/) {}

private:
  Configuration configuration;
  std::unordered_map<std::string, std::vector<std::string>> selections;
  std::unordered_map<FlowId, std::string> flows;
  Outbox emptyOutbox;
};

static_assert(Node<EngineNode>);
static_assert(Node<NaiveNode>);

}

#endif
