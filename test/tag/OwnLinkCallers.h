#ifndef BUCKTHORNWING_TEST_OWN_LINK_CALLERS_H
#define BUCKTHORNWING_TEST_OWN_LINK_CALLERS_H

#include "OwnLinkWorld.h"

#include <vector>

namespace buckthornwing::test {

/// \brief Simulated callers that send requests on one long flow each.
///
/// Openings and requests are retransmitted until they are answered. After a
/// reset the caller opens another flow.
class OwnLinkCallers
{
public:
  OwnLinkCallers(OwnLinkWorld& world, std::size_t count)
    : world(world)
    , callers(count)
  {
    this->world.onCallerReset = [this](const FlowKey& flow) {
      this->onReset(flow);
    };
    for (std::size_t i = 0; i < count; ++i) {
      this->openAfterPause(i);
    }
  }

private:
  static constexpr std::uint64_t kMaxPauseMs = 500;
  static constexpr std::uint64_t kMaxServiceMs = 50;
  static constexpr MilliDuration kFirstTimeout{ 200 };
  static constexpr MilliDuration kMaxTimeout{ 3200 };
  static constexpr std::uint32_t kAnswerBytes = 300;

  struct Caller
  {
    FlowKey flow;
    FlowTag tag;
    bool isOpen = false;
    std::uint32_t sequence = 1000;
    std::uint32_t acknowledged = 1;
    /// Incremented by each answer and each new flow, so that callbacks of
    /// earlier steps can be ignored.
    std::uint64_t step = 0;
  };

  OwnLinkWorld& world;
  std::vector<Caller> callers;
  unsigned flowCount = 0;

  /// \brief Starts a new flow after a pause.
  void openAfterPause(std::size_t i)
  {
    const std::uint64_t step = this->callers[i].step + 1;
    this->callers[i] = Caller{};
    this->callers[i].step = step;
    this->callers[i].flow = flowOf(++this->flowCount);
    this->afterPause(i, [this, i] { this->send(i, 0, kFirstTimeout); });
  }

  void afterPause(std::size_t i, std::function<void()> run)
  {
    this->world.events.after(
      this->world.randomUpTo(kMaxPauseMs),
      [this, i, run = std::move(run), step = this->callers[i].step] {
        if (this->callers[i].step == step) {
          run();
        }
      });
  }

  /// \brief Sends an opening or a request and retransmits it until it is
  /// answered.
  /// \param copy number of earlier copies
  /// \param timeout time until the retransmission; doubled each time
  void send(std::size_t i, std::uint32_t copy, MilliDuration timeout)
  {
    const Caller& caller = this->callers[i];
    const CallerPacket packet = caller.isOpen ? flowPacket(caller.flow,
                                                           caller.tag,
                                                           caller.sequence,
                                                           caller.acknowledged,
                                                           kRequestBytes.size())
                                              : opening(caller.flow, copy);
    this->world.fromCaller(packet, [this, i, step = caller.step](FlowTag tag) {
      // The target answers the caller directly, not through an instance.
      this->world.events.after(this->world.randomUpTo(kMaxServiceMs),
                               [=, this] { this->onAnswer(i, step, tag); });
    });
    this->world.events.after(timeout, [=, this, step = caller.step] {
      if (this->callers[i].step == step) {
        this->send(i, copy + 1, std::min(timeout + timeout, kMaxTimeout));
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
      flowPacket(caller.flow, caller.tag, caller.sequence, caller.acknowledged),
      [](FlowTag) {});
    this->afterPause(i, [this, i] { this->send(i, 0, kFirstTimeout); });
  }

  void onReset(const FlowKey& flow)
  {
    for (std::size_t i = 0; i < this->callers.size(); ++i) {
      if (this->callers[i].flow == flow) {
        this->openAfterPause(i);
      }
    }
  }
};

}

#endif
