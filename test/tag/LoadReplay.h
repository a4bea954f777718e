#ifndef BUCKTHORNWING_TEST_LOAD_REPLAY_H
#define BUCKTHORNWING_TEST_LOAD_REPLAY_H

#include "LoadPattern.h"
#include "PacedOpenings.h"
#include "ReplayCaller.h"
#include "ReplayFabric.h"
#include "ReplayTarget.h"
#include "TagFixture.h"
#include "VirtualEvents.h"

#include <Fleet>

#include <algorithm>
#include <functional>
#include <memory>

namespace buckthornwing::test {

/// \brief Replays a load pattern over engines, in virtual time: callers that
/// keep flows open or open one for each request, targets with slots and a
/// queue, zones, and the fabric's choice of instances.
class LoadReplay
{
public:
  LoadReplay(const LoadPattern& pattern, TagPolicySettings policy)
    : pattern(pattern)
    , policy(policy)
    , random{ pattern.seed }
  {
    for (std::size_t zone = 0; zone < pattern.zones.size(); ++zone) {
      this->addZone(zone);
    }
    for (std::size_t i = 0; i < this->instanceZones.size(); ++i) {
      this->engines.push_back(this->makeEngine(i));
      this->fabric.add(this->instanceZones[i]);
    }
    this->callers.resize(pattern.callers);
    for (std::size_t i = 0; i < pattern.callers; ++i) {
      this->callers[i].zone = i % pattern.zones.size();
      this->callers[i].opensForEach = this->random.unit() < pattern.freshShare;
      this->pauseCaller(i);
    }
    this->tickEngines();
    this->checkInstances();
  }

  LoadResult run()
  {
    this->planFaults();
    this->events.run(this->start + this->pattern.length);
    int most = 0;
    int total = 0;
    for (const ReplayTarget& target : this->targets) {
      most = std::max(most, target.served);
      total += target.served;
    }
    this->result.imbalance = static_cast<double>(most) *
                             static_cast<double>(this->targets.size()) / total;
    this->result.zoneImbalance = this->zoneBusy.imbalance();
    return this->result;
  }

private:
  LoadPattern pattern;
  TagPolicySettings policy;
  MilliTime start{ 100000 };
  VirtualEvents events{ start };
  const MilliTime& now = events.now;
  Random random;
  std::uint16_t nextPort = 1024;
  std::vector<std::unique_ptr<TagEngine>> engines; ///< null while down
  std::vector<std::size_t> instanceZones;
  ReplayFabric fabric;
  std::vector<ReplayTarget> targets;
  std::vector<Caller> callers;
  LoadResult result;
  MilliTime outageEnd{};
  ZoneBusy zoneBusy;

  void after(MilliDuration span, std::function<void()> run)
  {
    this->events.after(span, std::move(run));
  }

  static std::string zoneName(std::size_t zone)
  {
    return std::string(1, static_cast<char>('a' + zone));
  }

  void addZone(std::size_t zone)
  {
    const ZonePattern& sizes = this->pattern.zones[zone];
    this->instanceZones.insert(
      this->instanceZones.end(), sizes.instances, zone);
    ReplayTarget target;
    target.zone = zone;
    this->targets.insert(this->targets.end(), sizes.targets, target);
    this->zoneBusy.addZone(sizes.targets * this->pattern.slots);
  }

  std::unique_ptr<TagEngine> makeEngine(std::size_t index)
  {
    TagSettings settings = OneEngine::settings(
      this->policy, "entry-" + std::to_string(index), index + 1);
    settings.zone = zoneName(this->instanceZones[index]);
    settings.advertisedAddress.port = static_cast<std::uint16_t>(index + 1);
    settings.incarnation = static_cast<std::uint64_t>(this->now.ms);
    settings.seeds = { *parseEndpoint("127.0.0.1:1") };
    auto engine = std::make_unique<TagEngine>(settings);
    std::vector<TargetChange> changes;
    for (std::uint64_t i = 1; i <= this->targets.size(); ++i) {
      changes.push_back(
        listed(i, i, "booking", zoneName(this->targets[i - 1].zone)));
      changes.back().record.slots =
        static_cast<std::uint32_t>(this->pattern.slots);
    }
    engine->onRoutes(twoRoutes(1), this->now);
    engine->onTargetListing(100, changes, this->now, this->now);
    return engine;
  }

  void planFaults()
  {
    if (this->pattern.crashAt.ms != 0) {
      this->after(this->pattern.crashAt, [this] {
        this->targets[0].isDark = true;
        this->targets[0].waiting.clear();
      });
    }
    if (this->pattern.outageAt.ms == 0) {
      return;
    }
    this->after(this->pattern.outageAt, [this] {
      for (auto& engine : this->engines) {
        engine.reset();
      }
    });
    this->after(this->pattern.outageAt + this->pattern.outageFor, [this] {
      this->outageEnd = this->now;
      this->sampleZones();
    });
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      const auto spread =
        static_cast<std::uint64_t>(this->pattern.startSpread.ms);
      const MilliDuration late{ static_cast<std::int64_t>(
        this->random.below(spread + 1)) };
      this->after(this->pattern.outageAt + this->pattern.outageFor + late,
                  [this, i] { this->engines[i] = this->makeEngine(i); });
    }
  }

  void sampleZones()
  {
    constexpr MilliDuration kSamplePeriod{ 20 };
    constexpr MilliDuration kSampled{ 1500 };
    this->zoneBusy.sample(this->targets);
    if (this->now - this->outageEnd < kSampled) {
      this->after(kSamplePeriod, [this] { this->sampleZones(); });
    }
  }

  void checkInstances()
  {
    this->after(ReplayFabric::kCheckPeriod, [this] { this->checkInstances(); });
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      this->fabric.onCheck(i, this->engines[i] != nullptr);
    }
  }

  void tickEngines()
  {
    this->after(kTagTickPeriod, [this] { this->tickEngines(); });
    for (auto& engine : this->engines) {
      if (engine != nullptr) {
        engine->onTargetChanges(100, {}, this->now, this->now);
        engine->onRoutesConfirmed(1, this->now);
        engine->tick(this->now);
      }
    }
    for (auto& engine : this->engines) {
      if (engine != nullptr) {
        this->afterInput(*engine);
      }
    }
  }

  void afterInput(TagEngine& engine)
  {
    for (OutgoingFleetMessage& outgoing : engine.takeOutgoing()) {
      const std::size_t to = outgoing.to.port - 1UL;
      if (to < this->engines.size() && this->engines[to] != nullptr) {
        this->engines[to]->onFleetMessage(outgoing.message, this->now);
      }
    }
    TagEngine* asking = &engine;
    for (const TargetSlot slot : engine.takeProbes()) {
      const bool isAlive = !this->targets[this->targetAt(engine, slot)].isDark;
      this->after(MilliDuration{ isAlive ? 1 : 250 }, [=, this] {
        if (this->isCurrent(asking)) {
          asking->onProbeResult(slot,
                                isAlive ? ProbeResult::alive
                                        : ProbeResult::silent,
                                this->now);
          this->afterInput(*asking);
        }
      });
    }
    for (const RescuedFlow& rescued : engine.takeRescued()) {
      this->resetFlow(rescued.flow);
    }
  }

  bool isCurrent(const TagEngine* engine) const
  {
    return std::any_of(this->engines.begin(),
                       this->engines.end(),
                       [=](const auto& each) { return each.get() == engine; });
  }

  std::size_t targetAt(const TagEngine& engine, TargetSlot slot) const
  {
    return engine.board().registry.at(slot).record.number - 1;
  }

  /// \returns the instance that the fabric hands a caller's packet to; null
  /// if that one is down.
  TagEngine* engineOf(const Caller& caller)
  {
    const FlowId flow = flowIdOf(caller.flow, this->pattern.seed);
    return this->engines[this->fabric.choose(flow, caller.zone)].get();
  }

  /// \returns the way from an instance to a target.
  MilliDuration wayTo(const TagEngine& engine, std::size_t target) const
  {
    const bool isLocal =
      engine.board().settings.zone == zoneName(this->targets[target].zone);
    return isLocal ? MilliDuration{} : this->pattern.crossZone;
  }

  void pauseCaller(std::size_t index)
  {
    const auto mean = static_cast<std::uint64_t>(this->pattern.pause.ms);
    const auto span = static_cast<std::int64_t>(this->random.below(2 * mean));
    this->after(MilliDuration{ span }, [this, index] { this->ask(index); });
  }

  void ask(std::size_t index)
  {
    Caller& caller = this->callers[index];
    caller.askedAt = this->now;
    caller.isAsking = true;
    caller.sheds = 0;
    ++this->result.asked;
    this->result.askedAfterOutage += this->isAfterOutage(caller) ? 1 : 0;
    const std::uint64_t asked = static_cast<std::uint64_t>(this->now.ms);
    this->after(this->pattern.deadline, [this, index, asked] {
      Caller& waiting = this->callers[index];
      if (waiting.isAsking &&
          static_cast<std::uint64_t>(waiting.askedAt.ms) == asked) {
        ++this->result.failed;
        this->finish(index);
        waiting.hasFlow = false;
      }
    });
    this->tryOnce(index);
  }

  void tryOnce(std::size_t index)
  {
    Caller& caller = this->callers[index];
    ++caller.generation;
    caller.delivered = false;
    if (caller.hasFlow) {
      this->sendRequest(index, caller.generation, MilliDuration{ 200 });
    } else {
      this->openFlow(index);
    }
  }

  void openFlow(std::size_t index)
  {
    Caller& caller = this->callers[index];
    caller.flow = flowOf(static_cast<unsigned>(index));
    caller.flow.source.port = ++this->nextPort;
    caller.sequence = 1001;
    caller.acknowledged = 1;
    this->sendOpening(index, caller.generation, 0);
  }

  void sendOpening(std::size_t index, std::uint64_t generation, unsigned copy)
  {
    Caller& caller = this->callers[index];
    if (caller.generation != generation || caller.hasFlow || !caller.isAsking) {
      return;
    }
    constexpr std::int64_t kGaps[] = { 200, 400, 800 };
    if (copy == 3) {
      this->tryOnce(index);
      return;
    }
    this->after(MilliDuration{ kGaps[copy] },
                [=, this] { this->sendOpening(index, generation, copy + 1); });
    TagEngine* engine = this->engineOf(caller);
    const bool isDropped =
      engine == nullptr || (this->pattern.pacesOpenings && copy < 2 &&
                            seemsCrowded(engine->board()));
    if (isDropped) {
      return;
    }
    const auto decision =
      engine->onPacket(opening(caller.flow, copy), this->now);
    this->afterInput(*engine);
    if (decision.outcome == SteeringOutcome::reset) {
      this->after(MilliDuration{ 20 }, [=, this] {
        if (this->callers[index].generation == generation) {
          this->tryOnce(index);
        }
      });
      return;
    }
    if (decision.outcome != SteeringOutcome::forward) {
      return;
    }
    this->countOpening(copy);
    const std::size_t target = this->targetAt(*engine, decision.target);
    if (!this->targets[target].isDark) {
      const MilliDuration answered{ 2 + 2 * this->wayTo(*engine, target).ms };
      this->after(answered, [=, this] {
        Caller& opened = this->callers[index];
        if (opened.generation == generation && !opened.hasFlow) {
          opened.hasFlow = true;
          opened.tag = decision.tag;
          this->sendRequest(index, generation, MilliDuration{ 200 });
        }
      });
    }
  }

  void countOpening(unsigned copy)
  {
    constexpr MilliDuration kSettled{ 500 };
    if (this->outageEnd.ms != 0 && this->now - this->outageEnd >= kSettled) {
      ++this->result.openedAfterOutage;
      this->result.openedAtOnce += copy == 0 ? 1 : 0;
    }
  }

  void sendRequest(std::size_t index,
                   std::uint64_t generation,
                   MilliDuration again)
  {
    Caller& caller = this->callers[index];
    if (caller.generation != generation || caller.delivered ||
        !caller.isAsking) {
      return;
    }
    constexpr std::int64_t kLongestGap = 1600;
    this->after(again, [=, this] {
      this->sendRequest(index,
                        generation,
                        MilliDuration{ std::min(2 * again.ms, kLongestGap) });
    });
    TagEngine* engine = this->engineOf(caller);
    if (engine == nullptr) {
      return;
    }
    const auto decision = engine->onPacket(
      later(caller.flow, caller.tag, caller.sequence, caller.acknowledged, 100),
      this->now);
    this->afterInput(*engine);
    if (decision.outcome == SteeringOutcome::reset) {
      this->resetFlow(caller.flow);
    } else if (decision.outcome == SteeringOutcome::forward) {
      const std::size_t target = this->targetAt(*engine, decision.target);
      this->after(this->wayTo(*engine, target),
                  [=, this] { this->deliver(index, generation, target); });
    }
  }

  void resetFlow(const FlowKey& flow)
  {
    for (std::size_t i = 0; i < this->callers.size(); ++i) {
      Caller& caller = this->callers[i];
      if (caller.hasFlow && caller.flow == flow) {
        caller.hasFlow = false;
        if (caller.isAsking) {
          this->tryOnce(i);
        }
      }
    }
  }

  void deliver(std::size_t index, std::uint64_t generation, std::size_t at)
  {
    ReplayTarget& target = this->targets[at];
    Caller& caller = this->callers[index];
    if (target.isDark || caller.delivered || caller.generation != generation) {
      return;
    }
    caller.delivered = true;
    const Job job{ index, generation };
    if (target.running < this->pattern.slots) {
      this->startJob(job, at);
    } else if (target.waiting.size() < this->pattern.queue) {
      target.waiting.push_back(job);
    } else {
      ++this->result.shed;
      this->after(this->pattern.shedAfter, [=, this] { this->onShed(job); });
    }
  }

  void onShed(const Job& job)
  {
    Caller& caller = this->callers[job.caller];
    if (caller.generation != job.generation || !caller.isAsking) {
      return;
    }
    constexpr int kMostRetries = 2;
    this->closeFlow(job.caller);
    if (++caller.sheds > kMostRetries) {
      ++this->result.failed;
      this->finish(job.caller);
      return;
    }
    this->tryOnce(job.caller);
  }

  void closeFlow(std::size_t index)
  {
    Caller& caller = this->callers[index];
    if (!caller.hasFlow) {
      return;
    }
    caller.hasFlow = false;
    TagEngine* engine = this->engineOf(caller);
    if (engine != nullptr) {
      CallerPacket end = later(caller.flow,
                               caller.tag,
                               caller.sequence + 100,
                               caller.acknowledged + 1);
      end.finishes = true;
      engine->onPacket(end, this->now);
    }
  }

  void startJob(const Job& job, std::size_t at)
  {
    ++this->targets[at].running;
    const auto mean = static_cast<std::uint64_t>(this->pattern.service.ms);
    const auto span =
      static_cast<std::int64_t>(mean / 2 + this->random.below(mean));
    this->after(MilliDuration{ span }, [=, this] { this->endJob(job, at); });
  }

  void endJob(const Job& job, std::size_t at)
  {
    ReplayTarget& target = this->targets[at];
    --target.running;
    if (target.isDark) {
      return;
    }
    ++target.served;
    if (!target.waiting.empty()) {
      const Job next = target.waiting.front();
      target.waiting.pop_front();
      this->startJob(next, at);
    }
    Caller& caller = this->callers[job.caller];
    if (caller.generation != job.generation || !caller.isAsking) {
      return;
    }
    caller.sequence += 100;
    caller.acknowledged += 1000;
    TagEngine* engine = this->engineOf(caller);
    if (engine != nullptr) {
      engine->onPacket(
        later(caller.flow, caller.tag, caller.sequence, caller.acknowledged),
        this->now);
    }
    this->countAnswer(caller);
    if (caller.opensForEach) {
      this->closeFlow(job.caller);
    }
    this->finish(job.caller);
  }

  bool isAfterOutage(const Caller& caller) const
  {
    return this->outageEnd.ms != 0 && caller.askedAt >= this->outageEnd &&
           caller.askedAt - this->outageEnd <= MilliDuration{ 2000 };
  }

  void countAnswer(const Caller& caller)
  {
    const bool isInTime = this->now - caller.askedAt <= this->pattern.objective;
    ++(isInTime ? this->result.inTime : this->result.late);
    this->result.inTimeAfterOutage +=
      isInTime && this->isAfterOutage(caller) ? 1 : 0;
  }

  void finish(std::size_t index)
  {
    this->callers[index].isAsking = false;
    ++this->callers[index].generation;
    this->pauseCaller(index);
  }
};

}

#endif
