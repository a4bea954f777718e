#ifndef BUCKTHORNWING_TEST_LOAD_REPLAY_H
#define BUCKTHORNWING_TEST_LOAD_REPLAY_H

#include "TagFixture.h"

#include <Fleet>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>

namespace buckthornwing::test {

/// \brief A load pattern: sizes, rates and what goes wrong when.
struct LoadPattern
{
  std::size_t instances = 3;
  std::size_t targets = 5;
  std::size_t slots = 3;
  std::size_t queue = 12;
  MilliDuration service{ 60 };
  std::size_t callers = 150;
  MilliDuration pause{ 800 }; ///< mean time between a caller's requests
  MilliDuration objective{ 300 };
  MilliDuration deadline{ 3000 };
  MilliDuration length{ 10000 };
  MilliDuration outageAt{ 0 }; ///< of all instances; 0 for none
  MilliDuration outageFor{ 0 };
  MilliDuration crashAt{ 0 }; ///< of one target, silently; 0 for none
  std::uint64_t seed = 1;
};

/// \brief What became of the requests.
struct LoadResult
{
  int asked = 0;
  int inTime = 0;
  int late = 0;
  int failed = 0;
  int shed = 0;              ///< answers of full targets; callers try again
  int inTimeAfterOutage = 0; ///< of those asked within 2 s of its end
  double imbalance = 0;      ///< busiest target's requests against the mean
};

/// \brief Replays a load pattern over engines, in virtual time: callers that
/// keep flows open, targets with slots and a queue, and the fabric's hash.
class LoadReplay
{
public:
  LoadReplay(const LoadPattern& pattern, TagPolicySettings policy)
    : pattern(pattern)
    , policy(policy)
    , random{ pattern.seed }
    , targets(pattern.targets)
  {
    for (std::size_t i = 0; i < pattern.instances; ++i) {
      this->engines.push_back(this->makeEngine(i));
    }
    this->callers.resize(pattern.callers);
    for (std::size_t i = 0; i < pattern.callers; ++i) {
      this->pauseCaller(i);
    }
    this->tickEngines();
  }

  LoadResult run()
  {
    this->planFaults();
    while (!this->events.empty() &&
           this->events.top().at <= this->start + this->pattern.length) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    int most = 0;
    int total = 0;
    for (const ReplayTarget& target : this->targets) {
      most = std::max(most, target.served);
      total += target.served;
    }
    this->result.imbalance = static_cast<double>(most) *
                             static_cast<double>(this->targets.size()) / total;
    return this->result;
  }

private:
  struct Event
  {
    MilliTime at;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const
    {
      return std::pair(other.at, other.order) <
             std::pair(this->at, this->order);
    }
  };

  /// \brief A request in a target's hands.
  struct Job
  {
    std::size_t caller = 0;
    std::uint64_t generation = 0;
  };

  struct ReplayTarget
  {
    std::size_t running = 0;
    std::deque<Job> waiting;
    bool isDark = false;
    int served = 0;
  };

  struct Caller
  {
    bool hasFlow = false;
    FlowKey flow;
    FlowTag tag;
    std::uint32_t sequence = 1001;
    std::uint32_t acknowledged = 1;
    bool delivered = false;       ///< the target has the request
    std::uint64_t generation = 0; ///< of the present try
    MilliTime askedAt{};
    bool isAsking = false;
  };

  LoadPattern pattern;
  TagPolicySettings policy;
  MilliTime start{ 100000 };
  MilliTime now{ 100000 };
  Random random;
  std::uint64_t nextOrder = 0;
  std::uint16_t nextPort = 1024;
  std::priority_queue<Event> events;
  std::vector<std::unique_ptr<TagEngine>> engines;
  std::vector<ReplayTarget> targets;
  std::vector<Caller> callers;
  LoadResult result;
  bool instancesDown = false;
  MilliTime outageEnd{};

  void after(MilliDuration span, std::function<void()> run)
  {
    this->events.push({ this->now + span, ++this->nextOrder, std::move(run) });
  }

  std::unique_ptr<TagEngine> makeEngine(std::size_t index)
  {
    TagSettings settings = OneEngine::settings(
      this->policy, "entry-" + std::to_string(index), index + 1);
    settings.advertisedAddress.port = static_cast<std::uint16_t>(index + 1);
    settings.incarnation = static_cast<std::uint64_t>(this->now.ms);
    settings.seeds = { *parseEndpoint("127.0.0.1:1") };
    auto engine = std::make_unique<TagEngine>(settings);
    std::vector<TargetChange> changes;
    for (std::uint64_t i = 1; i <= this->pattern.targets; ++i) {
      changes.push_back(listed(i, i));
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
    this->after(this->pattern.outageAt, [this] { this->instancesDown = true; });
    this->after(this->pattern.outageAt + this->pattern.outageFor, [this] {
      this->instancesDown = false;
      this->outageEnd = this->now;
      for (std::size_t i = 0; i < this->engines.size(); ++i) {
        this->engines[i] = this->makeEngine(i);
      }
    });
  }

  void tickEngines()
  {
    this->after(kTagTickPeriod, [this] { this->tickEngines(); });
    if (this->instancesDown) {
      return;
    }
    for (auto& engine : this->engines) {
      engine->onTargetChanges(100, {}, this->now, this->now);
      engine->onRoutesConfirmed(1, this->now);
      engine->tick(this->now);
    }
    for (auto& engine : this->engines) {
      this->afterInput(*engine);
    }
  }

  void afterInput(TagEngine& engine)
  {
    for (OutgoingFleetMessage& outgoing : engine.takeOutgoing()) {
      const std::size_t to = outgoing.to.port - 1UL;
      if (to < this->engines.size()) {
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

  TagEngine& engineOf(const FlowKey& flow)
  {
    return *this->engines[flowIdOf(flow, this->pattern.seed).bits %
                          this->engines.size()];
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
    ++this->result.asked;
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
    if (this->instancesDown) {
      return;
    }
    TagEngine& engine = this->engineOf(caller.flow);
    const auto decision =
      engine.onPacket(opening(caller.flow, copy), this->now);
    this->afterInput(engine);
    if (decision.outcome == SteeringOutcome::reset) {
      this->after(MilliDuration{ 20 }, [=, this] {
        if (this->callers[index].generation == generation) {
          this->tryOnce(index);
        }
      });
      return;
    }
    const bool answers =
      decision.outcome == SteeringOutcome::forward &&
      !this->targets[this->targetAt(engine, decision.target)].isDark;
    if (answers) {
      this->after(MilliDuration{ 2 }, [=, this] {
        Caller& opened = this->callers[index];
        if (opened.generation == generation && !opened.hasFlow) {
          opened.hasFlow = true;
          opened.tag = decision.tag;
          this->sendRequest(index, generation, MilliDuration{ 200 });
        }
      });
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
    if (this->instancesDown) {
      return;
    }
    TagEngine& engine = this->engineOf(caller.flow);
    const auto decision = engine.onPacket(
      later(caller.flow, caller.tag, caller.sequence, caller.acknowledged, 100),
      this->now);
    this->afterInput(engine);
    if (decision.outcome == SteeringOutcome::reset) {
      this->resetFlow(caller.flow);
    } else if (decision.outcome == SteeringOutcome::forward) {
      this->deliver(index, generation, this->targetAt(engine, decision.target));
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
    if (target.isDark) {
      return;
    }
    this->callers[index].delivered = true;
    const Job job{ index, generation };
    if (target.running < this->pattern.slots) {
      this->startJob(job, at);
    } else if (target.waiting.size() < this->pattern.queue) {
      target.waiting.push_back(job);
    } else {
      ++this->result.shed;
      this->after(MilliDuration{ 20 }, [=, this] { this->onShed(job); });
    }
  }

  void onShed(const Job& job)
  {
    Caller& caller = this->callers[job.caller];
    if (caller.generation != job.generation || !caller.isAsking) {
      return;
    }
    this->closeFlow(job.caller);
    this->tryOnce(job.caller);
  }

  void closeFlow(std::size_t index)
  {
    Caller& caller = this->callers[index];
    if (!caller.hasFlow) {
      return;
    }
    caller.hasFlow = false;
    if (!this->instancesDown) {
      CallerPacket end = later(caller.flow,
                               caller.tag,
                               caller.sequence + 100,
                               caller.acknowledged + 1);
      end.finishes = true;
      this->engineOf(caller.flow).onPacket(end, this->now);
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
    if (!this->instancesDown) {
      this->engineOf(caller.flow)
        .onPacket(
          later(caller.flow, caller.tag, caller.sequence, caller.acknowledged),
          this->now);
    }
    this->countAnswer(caller);
    this->finish(job.caller);
  }

  void countAnswer(const Caller& caller)
  {
    const bool isInTime = this->now - caller.askedAt <= this->pattern.objective;
    ++(isInTime ? this->result.inTime : this->result.late);
    const bool isAfterOutage =
      this->outageEnd.ms != 0 && caller.askedAt >= this->outageEnd &&
      caller.askedAt - this->outageEnd <= MilliDuration{ 2000 };
    this->result.inTimeAfterOutage += isInTime && isAfterOutage ? 1 : 0;
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
