#ifndef BUCKTHORNWING_TEST_VIRTUAL_EVENTS_H
#define BUCKTHORNWING_TEST_VIRTUAL_EVENTS_H

#include <Core>

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

namespace buckthornwing::test {

/// \brief Runs functions in the order of their virtual times.
class VirtualEvents
{
public:
  MilliTime now;

  explicit VirtualEvents(MilliTime start)
    : now(start)
  {
  }

  void after(MilliDuration span, std::function<void()> run)
  {
    this->events.push({ this->now + span, ++this->nextOrder, std::move(run) });
  }

  /// \brief Runs what is due up to a time.
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
    std::uint64_t order = 0; ///< of events at the same time
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
