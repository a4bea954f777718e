#ifndef BUCKTHORNWING_TEST_VIRTUAL_EVENTS_H
#define BUCKTHORNWING_TEST_VIRTUAL_EVENTS_H

#include <Core>

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

namespace buckthornwing::test {

/// \brief Event queue with a virtual clock.
class VirtualEvents
{
public:
  MilliTime now;

  explicit VirtualEvents(MilliTime start)
    : now(start)
  {
  }

  /// \brief Schedules a function to run after a time span.
  void after(MilliDuration span, std::function<void()> run)
  {
    this->events.push({ this->now + span, ++this->nextOrder, std::move(run) });
  }

  /// \brief Runs the events that are due up to a time, in order.
  void run(MilliTime end)
  {
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
  }

private:
  struct Event
  {
    MilliTime at;
    std::uint64_t order = 0; ///< orders events that are due at the same time
    std::function<void()> run;

    bool operator<(const Event& other) const
    {
      return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
  };

  std::uint64_t nextOrder = 0;
  std::priority_queue<Event> events;
};

}

#endif
