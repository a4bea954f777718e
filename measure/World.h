#ifndef BUCKTHORNWING_MEASURE_WORLD_H
#define BUCKTHORNWING_MEASURE_WORLD_H

#include "CallerFlow.h"
#include "Deployment.h"
#include "FakeNetwork.h"
#include "Node.h"
#include "OpenFlows.h"
#include "Result.h"

#include <Core>
#include <Peer>

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace buckthornwing::measure {

/// \brief What scenarios change besides the published document.
struct WorldFaults
{
  LinkFaults peerLinks;
  bool platformDown = false;
  std::string staleText; ///< the platform answers with this if not empty
  bool allLookUnhealthy = false;
  std::string liar;               ///< this target reports that it is idle
  std::set<std::string> shedding; ///< these report that they shed load
};

/// \brief A deployment with callers, instances of one policy and targets.
template<Node Policy>
class World
{
public:
  World(const Deployment& deployment,
        std::uint64_t seed,
        const PolicySettings& policy)
    : published(initialState(deployment))
    , net(seed, deployment.betweenZonesMs)
    , policySettings(policy)
  {
    this->noteSelections();
    for (std::size_t i = 0; i < deployment.instances; ++i) {
      this->addInstance(i);
    }
  }

  PublishedState published;
  FakeNetwork net;
  WorldFaults faults;
  Result result;
  bool callersRun = false;
  /// Only this service counts in the result, if not empty.
  std::string countedService;

  MilliTime now() const { return this->net.now(); }

  /// \brief Starts an instance with a number; a number may start again.
  void addInstance(std::size_t number)
  {
    const InstanceConfig config =
      describeInstance(this->published.deployment, number);
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
    this->instanceAt[config.peerAddress.port] = index;
    this->tickLater(index, this->net.random.below(kTickPeriod.ms));
  }

  /// \brief Ends an instance without notice.
  void kill(std::size_t index) { this->instances[index].alive = false; }

  /// \brief Starts a planned stop; the fabric sends it nothing more soon.
  void stop(std::size_t index)
  {
    constexpr MilliDuration kFabricNotices{ 500 };
    Instance& instance = this->instances[index];
    instance.node->requestStop(this->now());
    this->flush(index);
    this->net.after(kFabricNotices,
                    [this, index] { this->instances[index].inFabric = false; });
    instance.stopping = true;
  }

  /// \brief Keeps an instance from running for a while.
  void pause(std::size_t index, MilliDuration span)
  {
    this->instances[index].pausedUntil = this->now() + span;
  }

  /// \brief Publishes the present document under the next revision.
  void publish()
  {
    ++this->published.revision;
    this->noteSelections();
    this->publishedAt[this->published.revision] = this->now();
    this->text = this->published.text();
  }

  TargetConfig& target(const std::string& id)
  {
    for (TargetConfig& config : this->published.targets) {
      if (config.id == id) {
        return config;
      }
    }
    throw std::runtime_error("no target " + id);
  }

  void drain(const std::string& id)
  {
    this->target(id).state = TargetState::draining;
    this->drainedAt[id] = this->now();
    this->publish();
  }

  /// \brief Publishes that a target that was draining serves again.
  void serveAgain(const std::string& id)
  {
    this->drainedAt.erase(id);
    this->publish();
  }

  /// \brief Opens the callers' flows over some seconds.
  void startCallers()
  {
    this->callersRun = true;
    constexpr std::int64_t kRampMs = 10000;
    for (std::size_t s = 0; s < this->services().size(); ++s) {
      for (std::size_t i = 0; i < this->services()[s].flows; ++i) {
        const auto delay = this->net.random.below(kRampMs);
        this->net.after(MilliDuration{ static_cast<std::int64_t>(delay) },
                        [this, s] { this->openFlow(s); });
      }
    }
  }

  /// \brief Opens more flows of a service at a steady rate, for a while.
  void flood(std::size_t service, double perSecond, MilliDuration span)
  {
    const auto count = static_cast<std::int64_t>(
      perSecond * static_cast<double>(span.ms) / 1000);
    for (std::int64_t i = 0; i < count; ++i) {
      this->net.after(MilliDuration{ i * span.ms / count },
                      [this, service] { this->openFlow(service, true); });
    }
  }

  /// \brief Runs the world for a time.
  void run(MilliDuration span) { this->net.runUntil(this->now() + span); }

  /// \brief Starts to count traffic and imbalance.
  void startMeasuring()
  {
    this->measuring = true;
    this->measuredFrom = this->now();
    this->result.openFlows = this->open.total();
    this->sampleImbalance();
  }

  /// \brief Completes the result.
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

  /// \returns the revision that each running instance has at least.
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
    bool inFabric = false;
    bool stopping = false;
    std::uint64_t revisionNoted = 0;
    MilliTime pausedUntil{};
  };

  std::vector<Instance> instances;
  std::map<std::uint16_t, std::size_t> instanceAt;
  std::deque<CallerFlow> flows;
  std::map<std::string, std::set<std::string>> everSelected;
  OpenFlows open;
  std::map<std::string, MilliTime> drainedAt;
  std::map<std::uint64_t, MilliTime> publishedAt;
  std::string text = this->published.text();
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

  void noteSelections()
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

  /// \returns whether an instance can't take something now. One that pauses
  /// takes it from its socket when it wakes.
  bool asleep(const Instance& instance, FakeNetwork::Action later)
  {
    if (instance.alive && !this->running(instance)) {
      this->net.after(instance.pausedUntil - this->now(), std::move(later));
    }
    return !this->running(instance);
  }

  void tickLater(std::size_t index, std::uint64_t delayMs)
  {
    this->net.after(MilliDuration{ static_cast<std::int64_t>(delayMs) },
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
      this->tickLater(index, static_cast<std::uint64_t>(left));
      return;
    }
    this->servePlatform(instance);
    this->reportLoads(index);
    instance.node->tick(this->now());
    this->flush(index);
    this->noteRevision(instance);
    if (!instance.stopping && instance.node->revision() > 0) {
      instance.inFabric = true;
    }
    if (instance.stopping && instance.node->readyToStop(this->now())) {
      instance.node->announceStopped(this->now());
      this->flush(index);
      instance.alive = false;
      return;
    }
    this->tickLater(index, kTickPeriod.ms);
  }

  void servePlatform(Instance& instance)
  {
    if (this->faults.platformDown || this->net.cut(instance.zone) ||
        !instance.node->wantsPlatform(this->now())) {
      return;
    }
    if (!this->faults.staleText.empty()) {
      instance.node->onConfiguration(this->faults.staleText, this->now());
      return;
    }
    if (instance.node->revision() < this->published.revision) {
      instance.node->onConfiguration(this->text, this->now());
    } else {
      instance.node->onPlatformContact(this->now());
    }
  }

  void noteRevision(Instance& instance)
  {
    const std::uint64_t revision = instance.node->revision();
    if (revision == instance.revisionNoted) {
      return;
    }
    this->result.revisionFalls += revision < instance.revisionNoted ? 1 : 0;
    instance.revisionNoted = revision;
    const auto found = this->publishedAt.find(revision);
    if (found != this->publishedAt.end() && !this->net.cut(instance.zone)) {
      this->result.configLagMs =
        std::max(this->result.configLagMs, (this->now() - found->second).ms);
    }
  }

  /// \brief Each instance hears of a tenth of the targets in each tick.
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
      report.healthy = report.reachable && !this->faults.allLookUnhealthy;
      report.shedding = this->faults.shedding.contains(config.id);
      const bool lies = config.id == this->faults.liar;
      report.connections = lies ? 0 : this->open.atTarget(config.id);
      instance.node->onLoadReport(config.id, report, this->now());
    }
  }

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

  /// \brief What PeerCodec::seal() adds to an envelope.
  static constexpr std::size_t kSealBytes = 29;

  void sendMessage(std::size_t from, OutgoingMessage& outgoing)
  {
    const auto found = this->instanceAt.find(outgoing.address.port);
    if (found == this->instanceAt.end()) {
      return;
    }
    const std::size_t to = found->second;
    auto message = std::make_shared<PeerMessage>(std::move(outgoing.message));
    this->net.carry(this->instances[from].zone,
                    this->instances[to].zone,
                    this->faults.peerLinks,
                    [this, to, message] { this->receive(to, message); });
  }

  void receive(std::size_t index, const std::shared_ptr<PeerMessage>& message)
  {
    Instance& instance = this->instances[index];
    if (this->asleep(instance, [this, index, message] {
          this->receive(index, message);
        })) {
      return;
    }
    const auto decision = instance.node->onPeerMessage(*message, this->now());
    if (decision) {
      const auto& packet = std::get<Relay>(message->body).packet;
      this->carryOut(index, *decision, packet);
    }
    this->flush(index);
  }

  // --- packets ---------------------------------------------------------

  std::size_t pickInstance(const CallerFlow& flow);
  void sendPacket(std::size_t number);
  void packetAtInstance(std::size_t number, std::size_t index);
  void countCrossZone(std::size_t index, const OutgoingMessage& relayed);
  void carryOut(std::size_t index, NodeDecision decision, PacketBytes packet);
  void noteDrop(std::size_t number, Reason reason);
  void refused(std::size_t number);
  // --- targets and callers ---------------------------------------------
  void packetAtTarget(std::size_t number,
                      const std::string& id,
                      std::uint64_t request);
  void openAtTarget(CallerFlow& flow, const std::string& id);
  void answerAtCaller(std::size_t number, std::uint64_t request);
  void openFlow(std::size_t service, bool floods = false);
  void ask(std::size_t number);
  void checkLater(std::size_t number);
  void check(std::size_t number, std::uint64_t request);
  void breakFlow(CallerFlow& flow);
  void endFlow(CallerFlow& flow);
  void replaceFlow(const CallerFlow& flow);
  // --- figures ---------------------------------------------------------
  void sampleImbalance();
};

}

#include "WorldTraffic.h"

#endif
