#ifndef BUCKTHORNWING_TEST_SLOW_LINK_FLEET_H
#define BUCKTHORNWING_TEST_SLOW_LINK_FLEET_H

#include "LinkQueue.h"
#include "TagFixture.h"

#include <criterion/criterion.h>

#include <deque>
#include <functional>
#include <memory>

namespace buckthornwing::test {

using namespace buckthornwing::literals;

/// \brief Simulated fleet in virtual time. Each message between instances
/// passes the slow links of both.
class SlowLinkFleet
{
public:
  static constexpr double kMegabits = 2;
  static constexpr std::size_t kHeaderBytes = 60;

  struct Instance
  {
    explicit Instance(VirtualEvents& events)
      : up(events, kMegabits)
      , down(events, kMegabits)
    {
    }

    std::unique_ptr<TagEngine> engine;
    LinkQueue up;
    LinkQueue down;
    MilliTime stalledUntil{};
    std::uint64_t run = 0; ///< counts the processes started at its address
  };

  /// \param afterInput called after each input of an instance
  SlowLinkFleet(VirtualEvents& events,
                std::function<void(std::size_t)> afterInput)
    : events(events)
    , afterInput(std::move(afterInput))
  {
  }

  Instance& at(std::size_t index) { return this->instances[index]; }
  const Instance& at(std::size_t index) const { return this->instances[index]; }

  /// \returns the number of a target in an instance's view.
  std::uint64_t numberOf(std::size_t index, TargetSlot slot) const
  {
    return this->at(index).engine->board().registry.at(slot).record.number;
  }

  /// \brief Adds an instance without a view, which requests it from others.
  /// \returns its index
  std::size_t add()
  {
    const std::size_t index = this->instances.size();
    this->instances.emplace_back(this->events);
    this->restart(index);
    this->tick(index);
    return index;
  }

  /// \brief Restarts an instance, without a view.
  void restart(std::size_t index)
  {
    TagSettings settings =
      EngineFixture::settings({}, "entry-" + std::to_string(index), index + 1);
    settings.advertisedAddress = addressOf(index);
    settings.linkMegabits = kMegabits;
    settings.incarnation = static_cast<std::uint64_t>(this->events.now.ms);
    settings.seeds = { addressOf(0) };
    Instance& instance = this->instances[index];
    instance.engine = std::make_unique<TagEngine>(settings);
    ++instance.run;
  }

  /// \brief Passes an input to an instance; if the instance is stalled, after
  /// the stall, unless it was restarted before.
  void input(std::size_t index, std::function<void(TagEngine&)> take)
  {
    Instance& instance = this->instances[index];
    const auto wait = instance.stalledUntil - this->events.now;
    if (wait > MilliDuration{}) {
      this->events.after(wait, [this, index, run = instance.run, take] {
        if (this->instances[index].run == run) {
          this->input(index, take);
        }
      });
      return;
    }
    take(*instance.engine);
    for (const OutgoingFleetMessage& outgoing :
         instance.engine->takeOutgoing()) {
      this->transmit(index, outgoing);
    }
    this->afterInput(index);
  }

private:
  VirtualEvents& events;
  std::function<void(std::size_t)> afterInput;
  std::deque<Instance> instances;

  static Endpoint addressOf(std::size_t index)
  {
    return *parseEndpoint("127.0.0.1:" + std::to_string(index + 1));
  }

  void tick(std::size_t index)
  {
    this->input(index, [this, index](TagEngine& engine) {
      engine.tick(this->events.now);
      this->events.after(kTagTickPeriod, [this, index] { this->tick(index); });
    });
  }

  void transmit(std::size_t from, const OutgoingFleetMessage& outgoing)
  {
    const std::size_t to = outgoing.to.port - std::size_t{ 1 };
    if (to >= this->instances.size()) {
      return;
    }
    const auto bytes =
      std::make_shared<const std::string>(encodeFleetMessage(outgoing.message));
    const std::size_t size = bytes->size() + kHeaderBytes;
    this->instances[from].up.send(size, [this, to, size, bytes] {
      this->instances[to].down.send(size, [this, to, bytes] {
        this->input(to, [this, bytes](TagEngine& engine) {
          FleetMessage message;
          cr_assert(decodeFleetMessage(
            { reinterpret_cast<const std::uint8_t*>(bytes->data()),
              bytes->size() },
            message));
          engine.onFleetMessage(message, this->events.now);
        });
      });
    });
  }
};

}

#endif
