#ifndef BUCKTHORNWING_TEST_OWN_LINK_CALLERS_H
#define BUCKTHORNWING_TEST_OWN_LINK_CALLERS_H

#include "OwnLinkWorld.h"

#include <vector>

namespace buckthornwing::test {

/// \brief Callers with one long flow each, on which they send requests. What
/// is not answered is sent again; a flow that was reset is followed by another.
class OwnLinkCallers
{
public:
  OwnLinkCallers(OwnLinkWorld& world, std::size_t count)
    : world(world)
    , callers(count)
  {
    this->world.callerReset = [this](const FlowKey& flow) {
      this->onReset(flow);
    };
    for (std::size_t i = 0; i < count; ++i) {
      this->openSoon(i);
    }
  }

private:
  static constexpr std::uint64_t kMostPauseMs = 500;
  static constexpr std::uint64_t kMostServiceMs = 50;
  static constexpr MilliDuration kFirstRepeat{ 200 };
  static constexpr MilliDuration kLongestRepeat{ 3200 };
  static constexpr std::uint32_t kAnswerBytes = 300;

  struct Caller
  {
    FlowKey flow;
    FlowTag tag;
    bool isOpen = false;
    std::uint32_t sequence = 1000;
    std::uint32_t acknowledged = 1;
    std::uint64_t step = 0; ///< counts what it waited for
  };

  OwnLinkWorld& world;
  std::vector<Caller> callers;
  unsigned flowCount = 0;

  void openSoon(std::size_t i)
  {
    const std::uint64_t step = this->callers[i].step + 1;
    this->callers[i] = Caller{};
    this->callers[i].step = step;
    this->callers[i].flow = flowOf(++this->flowCount);
    this->afterPause(i, [this, i] { this->ask(i, 0, kFirstRepeat); });
  }

  void afterPause(std::size_t i, std::function<void()> run)
  {
    this->world.events.after(
      this->world.anyOf(kMostPauseMs),
      [this, i, run = std::move(run), step = this->callers[i].step] {
        if (this->callers[i].step == step) {
          run();
        }
      });
  }

  /// \brief Sends an opening or a request, and again until it is answered.
  void ask(std::size_t i, std::uint32_t copy, MilliDuration repeat)
  {
    const Caller& caller = this->callers[i];
    const CallerPacket packet = caller.isOpen ? later(caller.flow,
                                                      caller.tag,
                                                      caller.sequence,
                                                      caller.acknowledged,
                                                      kRequestBytes.size())
                                              : opening(caller.flow, copy);
    this->world.fromCaller(packet, [this, i, step = caller.step](FlowTag tag) {
      // Answers go straight to the caller.
      this->world.events.after(this->world.anyOf(kMostServiceMs),
                               [=, this] { this->onAnswer(i, step, tag); });
    });
    this->world.events.after(repeat, [=, this, step = caller.step] {
      if (this->callers[i].step == step) {
        this->ask(i, copy + 1, std::min(repeat + repeat, kLongestRepeat));
      }
    });
  }

  void onAnswer(std::size_t i, std::uint64_t step, FlowTag tag)
  {
    Caller& caller = this->callers[i];
    if (caller.step != step) {
      return;
    }
    ++caller.step;
    if (caller.isOpen) {
      caller.sequence += static_cast<std::uint32_t>(kRequestBytes.size());
      caller.acknowledged += kAnswerBytes;
    }
    caller.isOpen = true;
    caller.tag = tag;
    this->world.fromCaller(
      later(caller.flow, caller.tag, caller.sequence, caller.acknowledged),
      [](FlowTag) {});
    this->afterPause(i, [this, i] { this->ask(i, 0, kFirstRepeat); });
  }

  void onReset(const FlowKey& flow)
  {
    for (std::size_t i = 0; i < this->callers.size(); ++i) {
      if (this->callers[i].flow == flow) {
        this->openSoon(i);
      }
    }
  }
};

}

#endif
