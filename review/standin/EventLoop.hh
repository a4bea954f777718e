#ifndef REVIEW_EVENT_LOOP_HH
#define REVIEW_EVENT_LOOP_HH

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <poll.h>
#include <vector>

namespace review {

/// \brief Single-threaded event loop with timers and readable descriptors.
class EventLoop
{
public:
  using Action = std::function<void()>;

  /// \returns milliseconds since the loop was created.
  std::int64_t now() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - this->start)
      .count();
  }

  void after(std::int64_t delayMs, Action action)
  {
    this->timers.emplace(this->now() + delayMs, std::move(action));
  }

  /// \brief Repeats an action for as long as the loop runs.
  void every(std::int64_t periodMs, Action action)
  {
    this->after(periodMs, [this, periodMs, action = std::move(action)] {
      action();
      this->every(periodMs, action);
    });
  }

  void watch(int descriptor, Action onReadable)
  {
    this->readers[descriptor] = std::move(onReadable);
  }
  void unwatch(int descriptor) { this->readers.erase(descriptor); }

  void stop() { this->stopped = true; }

  void run()
  {
    while (!this->stopped) {
      this->runTimers();
      this->pollOnce();
    }
  }

private:
  static constexpr std::int64_t kMaxWaitMs = 20;

  std::chrono::steady_clock::time_point start =
    std::chrono::steady_clock::now();
  std::multimap<std::int64_t, Action> timers;
  std::map<int, Action> readers;
  bool stopped = false;

  void runTimers()
  {
    while (!this->timers.empty() && !this->stopped &&
           this->timers.begin()->first <= this->now()) {
      const Action action = std::move(this->timers.begin()->second);
      this->timers.erase(this->timers.begin());
      action();
    }
  }

  void pollOnce()
  {
    std::int64_t wait = kMaxWaitMs;
    if (!this->timers.empty()) {
      wait = std::min(wait, this->timers.begin()->first - this->now());
    }
    std::vector<pollfd> polled;
    for (const auto& [descriptor, action] : this->readers) {
      polled.push_back({ descriptor, POLLIN, 0 });
    }
    poll(polled.data(),
         polled.size(),
         static_cast<int>(std::max(wait, std::int64_t{ 0 })));
    for (const pollfd& each : polled) {
      const auto reader = this->readers.find(each.fd);
      if (each.revents != 0 && reader != this->readers.end()) {
        const Action action = reader->second;
        action();
      }
    }
  }
};

}

#endif
