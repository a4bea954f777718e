#include "World.hh"

#include <deque>
#include <iostream>
#include <sys/resource.h>

namespace review {
namespace {

constexpr std::uint16_t kVisitPort = 443;
constexpr std::uint16_t kOldPort = 444;
constexpr std::uint16_t kNewPort = 445;
constexpr std::uint16_t kCertsPort = 446;

constexpr std::int64_t kTimeoutMs = 4000;

const std::vector<RouteEntry> kFirstRoutes{
  { "visit", kVisitPort, "dispatch", false },
  { "old", kOldPort, "dispatch", false },
  { "certs", kCertsPort, "certs", true },
};
const std::vector<RouteEntry> kSecondRoutes{
  { "visit", kVisitPort, "dispatch", false },
  { "new", kNewPort, "dispatch", false },
  { "certs", kCertsPort, "certs", true },
};

/// \brief Four machines and nine targets in three zones.
void
setUpSmall(World& world, bool isProxied = false)
{
  world.addMachine("a", 1, 1, isProxied);
  world.addMachine("b", 2, 1, isProxied);
  world.addMachine("c", 3, 1, isProxied);
  world.addMachine("a", 1, 2, isProxied);
  const char* const zones[] = { "a", "b", "c" };
  for (int i = 0; i < 9; ++i) {
    const int zone = i % 3;
    const std::string digits = "5c0ffee0" + std::to_string(10 + i);
    world
      .addTarget(i < 6 ? "dispatch" : "certs", zones[zone], zone + 1, digits, 0)
      .start();
  }
  world.store->put("op/config",
                   world.configuration(3, kFirstRoutes, kTimeoutMs));
}

/// \brief Calls an action at a time after the start of traffic.
void
schedule(World& world,
         std::int64_t start,
         double seconds,
         std::function<void()> action)
{
  constexpr double kMsPerSecond = 1000.0;
  const auto at = start + static_cast<std::int64_t>(seconds * kMsPerSecond);
  world.loop.after(at - world.loop.now(), std::move(action));
}

/// \brief Judges DRAIN for one target: no opening that it took may have been
/// sent and have arrived later than drain_ms after the acknowledgement.
/// \param notBefore the machines are in touch from then on
int
judgeDrain(World& world,
           const Target& target,
           std::int64_t drainMs,
           std::int64_t notBefore)
{
  const std::int64_t bound =
    std::max(notBefore, target.drainAcceptedAt() + drainMs + kLossSlackMs);
  int late = 0;
  int lost = 0;
  for (const Run& run : world.runs) {
    if (run.targetId == target.about().id && run.sentAt > bound &&
        run.arrivedAt > bound) {
      ++late;
      world.record.line("late: " + run.requestId + " was sent " +
                        std::to_string(run.sentAt - target.drainAcceptedAt()) +
                        " ms after the acknowledgement");
      for (const Attempt& attempt : world.attempts) {
        lost += attempt.requestId == run.requestId &&
                    attempt.end != AttemptEnd::answered
                  ? 1
                  : 0;
      }
    }
  }
  world.record.line(
    "DRAIN: " + std::to_string(late) + " requests reached " +
    target.about().id + " later than " + std::to_string(drainMs) +
    " ms after the store had acknowledged draining; " + std::to_string(lost) +
    " of them ran and were never "
    "answered");
  return late > 0 ? 1 : 0;
}

}

int
runDrainCase(World& world, bool trouble)
{
  setUpSmall(world);
  return world.play([&world, trouble](std::int64_t start) {
    constexpr std::int64_t kEndMs = 28000;
    const std::int64_t last = start + kEndMs - 5000;
    world.callers->startRequests(
      world.requestKind("visit", kVisitPort, 60, start, last));
    world.callers->startRequests(
      world.requestKind("certs", kCertsPort, 200, start, last));
    auto copy = std::make_shared<Store::Copy>();
    auto added = std::make_shared<Target*>(nullptr);
    schedule(world, start, 5.0, [&world, copy] {
      *copy = world.store->copy();
      world.record.line("store: a copy is made at revision " +
                        std::to_string(copy->revision));
    });
    // A new target registers and warms up: its entry changes with each
    // heartbeat.
    schedule(world, start, 6.0, [&world, added] {
      constexpr std::int64_t kWarmupMs = 2000;
      *added = &world.addTarget("dispatch", "a", 1, "5c0ffee099", kWarmupMs);
      (*added)->start();
    });
    if (trouble) {
      schedule(world, start, 9.5, [&world] { world.store->goAway(); });
      schedule(
        world, start, 10.5, [&world, copy] { world.store->comeBack(*copy); });
    }
    schedule(world, start, 17.0, [added] { (*added)->drain(); });
    schedule(world, start, 24.0, [added] { (*added)->leave(); });
    schedule(world, start, 28.0, [&world, added] {
      world.end(judgeDrain(world, **added, kSmallSite.drain, 0));
    });
  });
}

namespace {

/// \brief The operator: writes configurations in order, and repeats a write
/// that failed. After the store has come back from a copy that lacks its newest
/// accepted configuration, it writes that one again first.
class Operator
{
public:
  explicit Operator(World& world)
    : world(world)
  {
  }

  void write(const std::string& text)
  {
    this->pending.push_back(text);
    this->work();
  }
  /// \returns the time of the newest acknowledgement.
  std::int64_t acknowledgedAt() const { return this->acceptedAt; }

private:
  static constexpr std::int64_t kRetryMs = 20;

  World& world;
  std::deque<std::string> pending;
  std::string accepted;
  std::int64_t acceptedAt = 0;
  bool isWaiting = false;

  void work()
  {
    while (!this->pending.empty() && !this->world.store->isAway()) {
      this->restoreAccepted();
      this->world.store->put("op/config", this->pending.front());
      this->accepted = this->pending.front();
      this->acceptedAt = this->world.loop.now();
      this->pending.pop_front();
      this->world.record.line("operator: the store acknowledged a change");
    }
    if (!this->pending.empty() && !this->isWaiting) {
      this->isWaiting = true;
      this->world.loop.after(kRetryMs, [this] {
        this->isWaiting = false;
        this->work();
      });
    }
  }

  void restoreAccepted()
  {
    const Store::Copy state = this->world.store->copy();
    const auto found = state.values.find("op/config");
    const bool isLost =
      !this->accepted.empty() &&
      (found == state.values.end() || found->second != this->accepted);
    if (isLost) {
      this->world.record.line("operator: writes its newest change again");
      this->world.store->put("op/config", this->accepted);
    }
  }
};

int
judgeConfig(World& world, std::int64_t acceptedAt)
{
  const std::int64_t bound =
    acceptedAt + kSmallSite.configApply + kSmallSite.maxStretch;
  int dropped = 0;
  int refused = 0;
  int served = 0;
  for (const Run& run : world.runs) {
    dropped += run.routePort == kOldPort && run.sentAt > bound ? 1 : 0;
  }
  for (const Attempt& attempt : world.attempts) {
    if (attempt.routePort == kNewPort && attempt.sentAt > bound) {
      ++(attempt.end == AttemptEnd::answered ? served : refused);
    }
  }
  world.record.line(
    "CONFIG: of the requests sent later than " +
    std::to_string(kSmallSite.configApply + kSmallSite.maxStretch) +
    " ms after the acknowledgement, " + std::to_string(dropped) +
    " were run with the dropped route; on the new route " +
    std::to_string(refused) + " attempts were refused or not answered, and " +
    std::to_string(served) + " answered");
  return dropped > 0 || refused > served ? 1 : 0;
}

}

int
runConfigCase(World& world, bool trouble)
{
  setUpSmall(world);
  return world.play([&world, trouble](std::int64_t start) {
    const std::int64_t last = start + 32000;
    for (const std::uint16_t port :
         { kVisitPort, kOldPort, kNewPort, kCertsPort }) {
      const std::int64_t first = port == kNewPort ? start + 10000 : start;
      world.callers->startRequests(
        world.requestKind("r" + std::to_string(port), port, 150, first, last));
    }
    auto copy = std::make_shared<Store::Copy>();
    auto changes = std::make_shared<Operator>(world);
    schedule(world, start, 4.5, [&world, copy] {
      *copy = world.store->copy();
      world.record.line("store: a copy is made at revision " +
                        std::to_string(copy->revision));
    });
    // Three changes in quick succession: two change time-outs, the third drops
    // a route and adds one.
    schedule(world, start, 7.0, [&world, changes] {
      changes->write(world.configuration(5, kFirstRoutes, kTimeoutMs + 100));
    });
    schedule(world, start, 7.33, [&world, changes] {
      changes->write(world.configuration(6, kFirstRoutes, kTimeoutMs + 200));
    });
    schedule(world, start, 7.66, [&world, changes] {
      changes->write(world.configuration(9, kSecondRoutes, kTimeoutMs + 200));
    });
    if (trouble) {
      schedule(world, start, 7.5, [&world] { world.store->goAway(); });
      schedule(
        world, start, 8.0, [&world, copy] { world.store->comeBack(*copy); });
    }
    schedule(world, start, 37.0, [&world, changes] {
      world.end(judgeConfig(world, changes->acknowledgedAt()));
    });
  });
}

namespace {

constexpr int kCertsTargets = 18;
/// \brief Enough for a second page of a listing.
constexpr int kDispatchTargets = 502;
/// \brief One of each zone; the first ones.
constexpr int kLeavingCertsTargets = 3;
constexpr std::int64_t kDownMs = 1000;

/// \returns ten hexadecimal digits, in the order of the numbers.
std::string
idDigits(const char* prefix, int number)
{
  const std::string text = std::to_string(1000 + number);
  return prefix + text;
}

/// \brief Kills all processes and starts them again.
void
restartAll(World& world)
{
  for (const Fleet::Machine& machine : world.fleet->all()) {
    world.fleet->killProcess(machine.name);
  }
  world.loop.after(kDownMs, [&world] {
    for (const Fleet::Machine& machine : world.fleet->all()) {
      world.fleet->start(machine, world.storeAddress);
    }
  });
}

}

int
runPageCase(World& world, bool trouble)
{
  world.addMachine("a", 1, 1);
  world.addMachine("b", 2, 1);
  world.addMachine("c", 3, 1);
  world.addMachine("a", 1, 2);
  const char* const zones[] = { "a", "b", "c" };
  for (int i = 0; i < kCertsTargets + kDispatchTargets; ++i) {
    const bool isCerts = i < kCertsTargets;
    const int zone = i % 3;
    world
      .addTarget(isCerts ? "certs" : "dispatch",
                 zones[zone],
                 zone + 1,
                 idDigits(isCerts ? "1a0ffe" : "5c0ffe", i),
                 0)
      .start();
  }
  world.store->put("op/config",
                   world.configuration(3, kFirstRoutes, kTimeoutMs));
  return world.play([&world, trouble](std::int64_t start) {
    const std::int64_t last = start + 20000;
    world.callers->startRequests(
      world.requestKind("visit", kVisitPort, 150, start, last));
    world.callers->startRequests(
      world.requestKind("certs", kCertsPort, 50, start, last));
    // Four targets are taken away at the same time: one of each zone is on the
    // first page of a listing, the fourth one is the last of the second page.
    std::vector<Target*> leaving;
    for (int i = 0; i < kLeavingCertsTargets; ++i) {
      leaving.push_back(world.targets[static_cast<std::size_t>(i)].get());
    }
    leaving.push_back(world.targets.back().get());
    const auto scaleIn = [leaving] {
      for (Target* target : leaving) {
        if (target->drainAcceptedAt() < 0) {
          target->drain();
        }
      }
    };
    if (trouble) {
      schedule(world, start, 5.0, [&world] { restartAll(world); });
      world.store->afterPage =
        [&world, scaleIn, start](const std::string& prefix, bool hasMore) {
          if (hasMore && prefix == "servers/" &&
              world.loop.now() > start + 5000) {
            world.loop.after(1, scaleIn);
          }
        };
    }
    schedule(world, start, trouble ? 9.0 : 6.0, scaleIn);
    schedule(world, start, 18.0, [leaving] {
      for (Target* target : leaving) {
        target->leave();
      }
    });
    const std::int64_t inTouch =
      start + 5000 + kDownMs + kLargeSite.stable + 500;
    schedule(world, start, 25.0, [&world, leaving, inTouch] {
      int verdict = 0;
      for (const Target* target : leaving) {
        verdict = std::max(
          verdict, judgeDrain(world, *target, kLargeSite.drain, inTouch));
      }
      world.end(verdict);
    });
  });
}

int
runOneWayCase(World& world, bool trouble)
{
  setUpSmall(world, true);
  return world.play([&world, trouble](std::int64_t start) {
    const std::int64_t last = start + 16000;
    for (const std::uint16_t port : { kVisitPort, kOldPort, kCertsPort }) {
      world.callers->startRequests(
        world.requestKind("r" + std::to_string(port), port, 60, start, last));
    }
    auto changes = std::make_shared<Operator>(world);
    if (trouble) {
      const std::uint32_t machine = parseIp("127.11.3.10");
      schedule(world, start, 7.5, [&world, machine] {
        world.links.cutSender(machine, true);
      });
      schedule(world, start, 13.0, [&world, machine] {
        world.links.cutSender(machine, false);
      });
    }
    schedule(world, start, 8.0, [&world, changes] {
      changes->write(world.configuration(5, kFirstRoutes, kTimeoutMs + 100));
    });
    schedule(world, start, 8.33, [&world, changes] {
      changes->write(world.configuration(9, kSecondRoutes, kTimeoutMs + 100));
    });
    schedule(world, start, 21.0, [&world, changes] {
      const std::int64_t bound =
        changes->acknowledgedAt() + kSmallSite.configApply + kLossSlackMs;
      int dropped = 0;
      for (const Run& run : world.runs) {
        dropped += run.routePort == kOldPort && run.sentAt > bound ? 1 : 0;
      }
      world.record.line(
        "CONFIG: " + std::to_string(dropped) +
        " requests were run with the dropped route though they were sent later "
        "than " +
        std::to_string(kSmallSite.configApply) +
        " ms after the acknowledgement");
      world.end(dropped > 0 ? 1 : 0);
    });
  });
}

int
runResetCase(World& world, bool trouble)
{
  world.addMachine("a", 1, 1);
  world.addMachine("b", 2, 1);
  world.addMachine("c", 3, 1);
  world.addMachine("a", 1, 2);
  world.startSpreadMs = 250;
  const char* const zones[] = { "a", "b", "c" };
  const int count = kCertsTargets + kDispatchTargets;
  for (int i = 0; i < count; ++i) {
    const bool isCerts = i < kCertsTargets;
    const int zone = i % 3;
    Target& target = world.addTarget(isCerts ? "certs" : "dispatch",
                                     zones[zone],
                                     zone + 1,
                                     idDigits(isCerts ? "1a0ffe" : "5c0ffe", i),
                                     0);
    if (i != 0 && i != count - 1) {
      target.start();
    }
  }
  // The first and the last target register while the first machine lists: one
  // after it has got the first page, on which it belongs, the other one before
  // it gets the second page.
  auto registered = std::make_shared<bool>(false);
  world.store->afterPage = [&world, registered](const std::string& prefix,
                                                bool hasMore) {
    if (hasMore && prefix == "servers/" && !*registered) {
      *registered = true;
      world.loop.after(1, [&world] {
        world.targets.front()->start();
        world.targets.back()->start();
      });
    }
  };
  world.store->put("op/config",
                   world.configuration(3, kFirstRoutes, kTimeoutMs));
  return world.play([&world, trouble](std::int64_t start) {
    RequestKind feed =
      world.requestKind("feed", kCertsPort, 300, start, start + 16000);
    feed.longFlows = 16;
    feed.isIdempotent = true;
    world.callers->startRequests(feed);
    if (trouble) {
      schedule(world, start, 7.9, [&world] { world.store->cutWatches(); });
      schedule(
        world, start, 8.0, [&world] { world.fleet->stopProcess("front-a-2"); });
    }
    schedule(world, start, 20.0, [&world] {
      const std::string& id = world.targets.front()->about().id;
      int broken = 0;
      for (const Attempt& attempt : world.attempts) {
        broken += attempt.end == AttemptEnd::reset && attempt.isResetBySystem &&
                      !attempt.targetId.empty()
                    ? 1
                    : 0;
      }
      world.record.line("FLOW: " + std::to_string(broken) +
                        " open flows of living targets were reset by the "
                        "system, all targets serve, among them " +
                        id);
      world.end(broken > 0 ? 1 : 0);
    });
  });
}

}

int
main(int argc, char** argv)
{
  if (argc < 6) {
    std::cerr << "world CASE PROGRAM REPOSITORY FOLDER SCRATCH\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  // Each target has two sockets.
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  const std::string name = argv[1];
  const char* const setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  try {
    review::Store::Limits limits;
    limits.pageItems = 500;
    review::World world(argv[2], argv[3], argv[4], argv[5], limits);
    world.record.line("case " + name + (trouble ? "" : ", without trouble"));
    int verdict = 2;
    if (name == "drain-after-restore") {
      verdict = review::runDrainCase(world, trouble);
    } else if (name == "config-after-restore") {
      verdict = review::runConfigCase(world, trouble);
    } else if (name == "torn-listing") {
      verdict = review::runPageCase(world, trouble);
    } else if (name == "one-way-cut") {
      verdict = review::runOneWayCase(world, trouble);
    } else if (name == "reset-after-stop") {
      verdict = review::runResetCase(world, trouble);
    }
    world.record.line("exit " + std::to_string(verdict));
    return verdict;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
