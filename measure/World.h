#ifndef BUCKTHORNWING_MEASURE_WORLD_H
#define BUCKTHORNWING_MEASURE_WORLD_H

#include "CallerFlow.h"
#include "Deployment.h"
#include "Node.h"
#include "OpenFlows.h"
#include "Result.h"
#include "SimulatedNetwork.h"

#include <Core>
#include <Peer>

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace buckthornwing::measure {

/// \brief Faults that scenarios inject besides changes of the published
/// document.
struct WorldFaults
{
  LinkFaults peerLinks;
  bool platformDown = false;
  std::string outdatedDocument;      ///< sent by the platform if not empty
  bool allReportedUnhealthy = false; ///< health reports of all targets fail
  std::string falselyIdleTarget;     ///< id; always reports 0 connections
  std::set<std::string> shedding; ///< ids of targets that report shedding load
};

/// \brief A simulated deployment: callers, instances that all run one policy,
/// and targets, connected by a simulated network.
template<Node Policy>
class World
{
public:
  World(const Deployment& deployment,
        std::uint64_t seed,
        const PolicySettings& policy)
    : published(initialDocument(deployment))
    , net(seed, deployment.interZoneDelayMs)
    , policySettings(policy)
  {
    this->recordSelections();
    for (std::size_t i = 0; i < deployment.instances; ++i) {
      this->addInstance(i);
    }
  }

  PublishedDocument published;
  SimulatedNetwork net;
  WorldFaults faults;
  Result result;
  bool callersRun = false;
  /// Name of the only service whose flows the result includes; all if empty.
  std::string countedService;

  MilliTime now() const { return this->net.now(); }

  /// \brief Starts an instance. An instance that ended may be started again
  /// under its number.
  /// \param number number of the instance in the deployment, from 0
  void addInstance(std::size_t number)
  {
    const InstanceConfig config =
      makeInstance(this->published.deployment, number);
    EngineSettings settings;
    settings.id = config.id;
    settings.zone = config.zone;
    settings.peerAddress = config.peerAddress;
    settings.policy = this->policySettings;
    const auto incarnation =
      static_cast<std::uint32_t>(this->now().ms / 1000 + 1);
    Instance instance;
    instance.zone = config.zone;
    instance.node = std::make_unique<Policy>(
      settings, incarnation, this->net.random.next(), this->now());
    this->instances.push_back(std::move(instance));
    const std::size_t index = this->instances.size() - 1;
    this->instanceByPort[config.peerAddress.port] = index;
    this->scheduleTick(index, this->net.random.below(kTickPeriod.ms));
  }

  /// \brief Ends an instance without notice to its peers. The fabric stops
  /// sending packets to it at once.
  /// \param index position in the order of calls of addInstance()
  void kill(std::size_t index) { this->instances[index].alive = false; }

  /// \brief Requests a planned stop of an instance. The fabric stops sending
  /// packets to it after a short delay.
  void stop(std::size_t index)
  {
    constexpr MilliDuration kFabricUpdateDelay{ 500 };
    Instance& instance = this->instances[index];
    instance.node->requestStop(this->now());
    this->flush(index);
    this->net.schedule(kFabricUpdateDelay, [this, index] {
      this->instances[index].inFabric = false;
    });
    instance.stopping = true;
  }

  /// \brief Suspends an instance for a time. Packets and messages that arrive
  /// meanwhile are processed when it resumes.
  void pause(std::size_t index, MilliDuration span)
  {
    this->instances[index].pausedUntil = this->now() + span;
  }

  /// \brief Publishes the current document under the next revision.
  void publish()
  {
    ++this->published.revision;
    this->recordSelections();
    this->publishedAt[this->published.revision] = this->now();
    this->documentText = this->published.toJson();
  }

  /// \returns a published target.
  /// \throws std::runtime_error if no target has this id
  TargetConfig& target(const std::string& id)
  {
    for (TargetConfig& config : this->published.targets) {
      if (config.id == id) {
        return config;
      }
    }
    throw std::runtime_error("no target " + id);
  }

  /// \brief Publishes that a target drains.
  void drain(const std::string& id)
  {
    this->target(id).state = TargetState::draining;
    this->drainedAt[id] = this->now();
    this->publish();
  }

  /// \brief Publishes that a target serves again after draining. The caller
  /// has already changed its state in the document.
  void serveAgain(const std::string& id)
  {
    this->drainedAt.erase(id);
    this->publish();
  }

  /// \brief Starts the callers: schedules the opening of all services' flows
  /// at random times within ten seconds.
  void startCallers()
  {
    this->callersRun = true;
    constexpr std::int64_t kRampMs = 10000;
    for (std::size_t s = 0; s < this->services().size(); ++s) {
      for (std::size_t i = 0; i < this->services()[s].flows; ++i) {
        const auto delay = this->net.random.below(kRampMs);
        this->net.schedule(MilliDuration{ static_cast<std::int64_t>(delay) },
                           [this, s] { this->openFlow(s); });
      }
    }
  }

  /// \brief Schedules additional flows of a service at a constant rate.
  /// \param service index of the service
  /// \param perSecond rate of new flows
  void flood(std::size_t service, double perSecond, MilliDuration span)
  {
    const auto count = static_cast<std::int64_t>(
      perSecond * static_cast<double>(span.ms) / 1000);
    for (std::int64_t i = 0; i < count; ++i) {
      this->net.schedule(MilliDuration{ i * span.ms / count },
                         [this, service] { this->openFlow(service, true); });
    }
  }

  /// \brief Advances the simulation by a time span.
  void run(MilliDuration span) { this->net.runUntil(this->now() + span); }

  /// \brief Starts to count packets and control bytes and to sample the
  /// imbalance.
  void startMeasuring()
  {
    this->measuring = true;
    this->measuredFrom = this->now();
    this->result.openFlows = this->openFlowCounts.total();
    this->sampleImbalance();
  }

  /// \brief Computes the shares, rates and means of the result.
  void finish()
  {
    const double seconds =
      static_cast<double>((this->now() - this->measuredFrom).ms) / 1000;
    const auto instanceSeconds =
      seconds * static_cast<double>(this->published.deployment.instances);
    this->result.controlBytesPerSecond =
      static_cast<double>(this->controlBytes) / instanceSeconds;
    const auto packets = static_cast<double>(std::max(this->packets, 1UL));
    this->result.relayShare = static_cast<double>(this->relays) / packets;
    this->result.crossZoneRelayShare =
      static_cast<double>(this->crossZoneRelays) / packets;
    this->result.imbalance =
      this->imbalanceSamples == 0
        ? 0
        : this->imbalanceSum / static_cast<double>(this->imbalanceSamples);
    this->result.flows = this->flowsCounted;
  }

  std::size_t instanceCount() const { return this->instances.size(); }

  const Policy& node(std::size_t index) const
  {
    return *this->instances[index].node;
  }

  /// \returns the lowest configuration revision among the running instances.
  std::uint64_t lowestRevision() const
  {
    std::uint64_t lowest = this->published.revision;
    for (const Instance& instance : this->instances) {
      if (instance.alive) {
        lowest = std::min(lowest, instance.node->revision());
      }
    }
    return lowest;
  }

private:
  struct Instance
  {
    std::string zone;
    std::unique_ptr<Policy> node;
    bool alive = true;
    bool inFabric = false; ///< the fabric sends it packets
    bool stopping = false;
    std::uint64_t lastRevision = 0;
    MilliTime pausedUntil{};
  };

  std::vector<Instance> instances;
  std::map<std::uint16_t, std::size_t> instanceByPort;
  std::deque<CallerFlow> flows;
  std::map<std::string, std::set<std::string>> everSelected;
  OpenFlows openFlowCounts;
  std::map<std::string, MilliTime> drainedAt;
  std::map<std::uint64_t, MilliTime> publishedAt;
  std::string documentText = this->published.toJson();
  PolicySettings policySettings;
  std::uint32_t nextCaller = 0;
  std::uint64_t flowsCounted = 0;
  bool measuring = false;
  MilliTime measuredFrom{};
  std::uint64_t packets = 0;
  std::uint64_t relays = 0;
  std::uint64_t crossZoneRelays = 0;
  std::uint64_t controlBytes = 0;
  double imbalanceSum = 0;
  std::uint64_t imbalanceSamples = 0;

  const std::vector<ServiceLoad>& services() const
  {
    return this->published.deployment.services;
  }

  const TargetConfig* findTarget(std::string_view id) const
  {
    for (const TargetConfig& config : this->published.targets) {
      if (config.id == id) {
        return &config;
      }
    }
    return nullptr;
  }

  /// \brief Adds the targets that are now selected to everSelected.
  void recordSelections()
  {
    for (const TargetConfig& config : this->published.targets) {
      if (config.labels.at("tier") != "spare") {
        this->everSelected[config.labels.at("app")].insert(config.id);
      }
    }
  }

  // --- instances -------------------------------------------------------

  bool running(const Instance& instance) const
  {
    return instance.alive && this->now() >= instance.pausedUntil;
  }

  /// \returns whether an instance cannot process input now.
  /// \param later reads the input from the socket buffer; scheduled for the
  /// end of the pause if the instance is paused, dropped if it has ended
  bool deferWhilePaused(const Instance& instance,
                        SimulatedNetwork::Action later)
  {
    if (instance.alive && !this->running(instance)) {
      this->net.schedule(instance.pausedUntil - this->now(), std::move(later));
    }
    return !this->running(instance);
  }

  void scheduleTick(std::size_t index, std::uint64_t delayMs)
  {
    this->net.schedule(MilliDuration{ static_cast<std::int64_t>(delayMs) },
                       [this, index] { this->tick(index); });
  }

  void tick(std::size_t index)
  {
    Instance& instance = this->instances[index];
    if (!instance.alive) {
      return;
    }
    if (!this->running(instance)) {
      const auto left = (instance.pausedUntil - this->now()).ms;
      this->scheduleTick(index, static_cast<std::uint64_t>(left));
      return;
    }
    this->updateFromPlatform(instance);
    this->reportLoads(index);
    instance.node->tick(this->now());
    this->flush(index);
    this->recordRevision(instance);
    if (!instance.stopping && instance.node->revision() > 0) {
      instance.inFabric = true;
    }
    if (instance.stopping && instance.node->readyToStop(this->now())) {
      instance.node->announceStopped(this->now());
      this->flush(index);
      instance.alive = false;
      return;
    }
    this->scheduleTick(index, kTickPeriod.ms);
  }

  /// \brief Delivers the current configuration document to an instance that
  /// watches the platform, or the platform's confirmation that it is current.
  void updateFromPlatform(Instance& instance)
  {
    if (this->faults.platformDown || this->net.isIsolated(instance.zone) ||
        !instance.node->shouldWatchPlatform(this->now())) {
      return;
    }
    if (!this->faults.outdatedDocument.empty()) {
      instance.node->onConfiguration(this->faults.outdatedDocument,
                                     this->now());
      return;
    }
    if (instance.node->revision() < this->published.revision) {
      instance.node->onConfiguration(this->documentText, this->now());
    } else {
      instance.node->onPlatformContact(this->now());
    }
  }

  /// \brief Counts returns to an older revision, and measures the time from
  /// publishing to applying.
  void recordRevision(Instance& instance)
  {
    const std::uint64_t revision = instance.node->revision();
    if (revision == instance.lastRevision) {
      return;
    }
    this->result.revisionFalls += revision < instance.lastRevision ? 1 : 0;
    instance.lastRevision = revision;
    const auto found = this->publishedAt.find(revision);
    if (found != this->publishedAt.end() &&
        !this->net.isIsolated(instance.zone)) {
      this->result.configLagMs =
        std::max(this->result.configLagMs, (this->now() - found->second).ms);
    }
  }

  /// \brief Gives an instance the load reports of a tenth of the targets, a
  /// different tenth in each tick.
  void reportLoads(std::size_t index)
  {
    constexpr std::int64_t kTicksPerRound = 10;
    Instance& instance = this->instances[index];
    const auto turn = this->now().ms / kTickPeriod.ms % kTicksPerRound;
    std::int64_t position = 0;
    for (const TargetConfig& config : this->published.targets) {
      if (position++ % kTicksPerRound != turn) {
        continue;
      }
      LoadReport report;
      report.reachable = this->net.reachable(instance.zone, config.zone);
      report.healthy = report.reachable && !this->faults.allReportedUnhealthy;
      report.shedding = this->faults.shedding.contains(config.id);
      const bool reportsIdle = config.id == this->faults.falselyIdleTarget;
      report.connections =
        reportsIdle ? 0 : this->openFlowCounts.atTarget(config.id);
      instance.node->onLoadReport(config.id, report, this->now());
    }
  }

  /// \brief Sends all messages in an instance's outbox.
  void flush(std::size_t index)
  {
    Outbox& outbox = this->instances[index].node->outbox();
    for (OutgoingMessage& outgoing : outbox.messages) {
      if (this->measuring) {
        const std::size_t bytes =
          encodeEnvelope(outgoing.message).size() + kSealBytes;
        this->controlBytes += bytes;
        this->result.bytesByKind[outgoing.message.body.index()] += bytes;
      }
      this->sendMessage(index, outgoing);
    }
    outbox.clear();
  }

  /// \brief Number of bytes that PeerCodec::seal() adds to an envelope.
  static constexpr std::size_t kSealBytes = 29;

  void sendMessage(std::size_t from, OutgoingMessage& outgoing)
  {
    const auto found = this->instanceByPort.find(outgoing.address.port);
    if (found == this->instanceByPort.end()) {
      return;
    }
    const std::size_t to = found->second;
    auto message = std::make_shared<PeerMessage>(std::move(outgoing.message));
    this->net.transmit(this->instances[from].zone,
                       this->instances[to].zone,
                       this->faults.peerLinks,
                       [this, to, message] { this->receive(to, message); });
  }

  void receive(std::size_t index, const std::shared_ptr<PeerMessage>& message)
  {
    Instance& instance = this->instances[index];
    if (this->deferWhilePaused(instance, [this, index, message] {
          this->receive(index, message);
        })) {
      return;
    }
    const auto decision = instance.node->onPeerMessage(*message, this->now());
    if (decision) {
      const auto& packet = std::get<Relay>(message->body).packet;
      this->executeDecision(index, *decision, packet);
    }
    this->flush(index);
  }

  // --- packets ---------------------------------------------------------

  /// \returns the index of a random instance that the fabric can reach from the
  /// caller's zone; the number of instances if there is none.
  std::size_t pickInstance(const CallerFlow& flow);
  void sendPacket(std::size_t number);
  void onPacketAtInstance(std::size_t number, std::size_t index);
  void countCrossZoneRelay(std::size_t index, const OutgoingMessage& relayed);
  void executeDecision(std::size_t index,
                       NodeDecision decision,
                       PacketBytes packet);
  void recordDrop(std::size_t number, Reason reason);
  /// \brief Ends a flow that an instance refused. The flow counts as broken if
  /// it was established.
  void handleRefusal(std::size_t number);
  // --- targets and callers ---------------------------------------------
  void onPacketAtTarget(std::size_t number,
                        const std::string& id,
                        std::uint64_t request);
  void openAtTarget(CallerFlow& flow, const std::string& id);
  void onAnswerAtCaller(std::size_t number, std::uint64_t request);
  void openFlow(std::size_t service, bool fromFlood = false);
  /// \brief Sends a flow's next request, which closes the flow if its lifetime
  /// is over.
  void sendRequest(std::size_t number);
  void scheduleRetransmission(std::size_t number);
  /// \brief Retransmits with a doubled timeout of at most 4 s. Ends the flow as
  /// broken after 30 s without an answer, unless a partition separated it from
  /// its target.
  void retransmitIfUnanswered(std::size_t number, std::uint64_t request);
  /// \brief Ends a flow and counts it as broken, or as unreachable if a
  /// partition is the cause.
  void breakFlow(CallerFlow& flow);
  void endFlow(CallerFlow& flow);
  /// \brief Schedules a new flow of the same service in place of an ended one,
  /// which keeps the load steady.
  void replaceFlow(const CallerFlow& flow);
  // --- measurement -----------------------------------------------------
  void sampleImbalance();
};

}

#include "WorldTraffic.h"

#endif
