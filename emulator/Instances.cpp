#include "Instances.h"

#include <boost/json.hpp>
#include <csignal>
#include <fstream>

namespace buckthornwing::emulator {
namespace internal {

constexpr MilliDuration kPollPeriod{ 20 };

}

Instances::Instances(boost::asio::io_context& context,
                     const Addresses& addresses,
                     Guarantees& guarantees,
                     std::string program,
                     std::string directory)
  : context(context)
  , timers{ context }
  , addresses(addresses)
  , guarantees(guarantees)
  , program(std::move(program))
  , directory(std::move(directory))
{
}

boost::leaf::result<void>
Instances::start(const std::vector<std::string>& zones)
{
  this->instances.resize(zones.size());
  for (std::size_t i = 0; i < zones.size(); ++i) {
    this->instances[i].zone = zones[i];
    BOOST_LEAF_CHECK(this->prepare(i));
  }
  for (std::size_t i = 0; i < zones.size(); ++i) {
    this->launch(i);
  }
  this->timers.every(internal::kPollPeriod, [this] { this->pollProcesses(); });
  return {};
}

std::optional<std::size_t>
Instances::indexOf(const Endpoint& address) const
{
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    if (this->addresses.packets(i).address == address.address) {
      return i;
    }
  }
  return std::nullopt;
}

void
Instances::injectFault(std::size_t index,
                       const std::string& name,
                       MilliDuration duration,
                       std::function<void(Instance&)> undo)
{
  this->guarantees.recordFault(
    name, std::to_string(index) + " for " + std::to_string(duration.ms));
  this->instances[index].stability.beginFault();
  this->timers.after(duration, [this, index, undo = std::move(undo)] {
    undo(this->instances[index]);
    this->instances[index].stability.endFault();
  });
}

void
Instances::kill(std::size_t index, MilliDuration downFor)
{
  Instance& instance = this->instances[index];
  if (!instance.process->isRunning()) {
    return;
  }
  instance.wasKilled = true;
  instance.process->signal(SIGKILL);
  this->injectFault(
    index, "kill", downFor, [this, index](Instance&) { this->launch(index); });
}

void
Instances::stop(std::size_t index, MilliDuration downFor)
{
  Instance& instance = this->instances[index];
  if (!instance.process->isRunning() || instance.stopRequestedAt) {
    return;
  }
  instance.stopRequestedAt = bootTime();
  instance.process->signal(SIGTERM);
  this->injectFault(
    index,
    "stop",
    Bounds::kStopTimeout + downFor,
    [this, index, startCount = instance.startCount](Instance& stopped) {
      // Another fault may have ended the process and started a new one, which
      // was not told to stop.
      const bool isSameProcess = stopped.startCount == startCount;
      if (isSameProcess && stopped.process->isRunning() && !stopped.wasKilled) {
        // The limit applies only if the process has not been frozen
        // recently. In any case a process that is still running is killed, as
        // the fabric does on the platform.
        if (stopped.freezeStability.isStable(Bounds::kStopTimeout +
                                             Bounds::kSettlingTime)) {
          this->guarantees.reportViolation("stops_in_time",
                                           std::to_string(index));
        }
        stopped.wasKilled = true;
        stopped.process->signal(SIGKILL);
      }
      this->timers.after(internal::kPollPeriod + internal::kPollPeriod,
                         [this, index] { this->launch(index); });
    });
}

void
Instances::freeze(std::size_t index, MilliDuration duration)
{
  Instance& instance = this->instances[index];
  if (!instance.process->isRunning()) {
    return;
  }
  instance.freezeStability.beginFault();
  instance.process->signal(SIGSTOP);
  this->injectFault(index, "freeze", duration, [](Instance& instance) {
    instance.freezeStability.endFault();
    if (instance.freezeStability.isFaultFree()) {
      instance.process->signal(SIGCONT);
    }
  });
}

void
Instances::reload(std::size_t index, bool isInvalid)
{
  Instance& instance = this->instances[index];
  this->guarantees.recordFault(isInvalid ? "bad_reload" : "reload",
                               std::to_string(index));
  this->writeSettings(instance, index, isInvalid);
  instance.process->signal(SIGHUP);
  instance.stability.recordInstantFault();
}

void
Instances::stallLog(std::size_t index, MilliDuration duration)
{
  // A log that nobody reads must not affect the instance. So this isn't
  // recorded in its stability, and all limits continue to apply.
  this->guarantees.recordFault("stalled_log", std::to_string(index));
  this->instances[index].process->setReading(false);
  this->timers.after(duration, [this, index] {
    this->instances[index].process->setReading(true);
  });
}

void
Instances::injectStoreLinkFault(std::size_t index,
                                StreamFault fault,
                                MilliDuration duration)
{
  this->instances[index].storeProxy->setFault(fault);
  this->injectFault(index,
                    "store_link_" + std::to_string(static_cast<int>(fault)),
                    duration,
                    [](Instance& instance) {
                      instance.storeProxy->setFault(StreamFault::none);
                    });
}

void
Instances::blockPeer(std::size_t index,
                     std::size_t from,
                     MilliDuration duration)
{
  this->instances[index].blockedPeers.insert(from);
  this->injectFault(
    index,
    "blocked_from_" + std::to_string(from),
    duration,
    [from](Instance& instance) { instance.blockedPeers.erase(from); });
}

void
Instances::delayPeers(std::size_t index,
                      MilliDuration delay,
                      MilliDuration duration)
{
  this->instances[index].peerDelay = delay;
  this->injectFault(index, "peer_delay", duration, [](Instance& instance) {
    instance.peerDelay = {};
  });
}

void
Instances::checkMemory()
{
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    const auto size = this->instances[i].process->residentKilobytes();
    if (size > Bounds::kMaxResidentKilobytes) {
      this->guarantees.reportViolation(
        "memory", std::to_string(i) + " " + std::to_string(size));
    }
  }
}

boost::leaf::result<void>
Instances::prepare(std::size_t index)
{
  Instance& instance = this->instances[index];
  const std::string pathPrefix =
    this->directory + "/entry-" + std::to_string(index);
  instance.settingsFile = pathPrefix + ".json";
  this->writeSettings(instance, index, false);
  BOOST_LEAF_CHECK(this->openProxies(index));
  instance.process =
    std::make_unique<InstanceProcess>(this->context,
                                      this->program,
                                      instance.settingsFile,
                                      pathPrefix + ".log",
                                      [this, index](const std::string& line) {
                                        this->checkLogLine(index, line);
                                      });
  return {};
}

boost::leaf::result<void>
Instances::openProxies(std::size_t index)
{
  Instance& instance = this->instances[index];
  instance.storeProxy =
    std::make_unique<StreamProxy>(this->context, this->addresses.store());
  BOOST_LEAF_CHECK(
    instance.storeProxy->open(this->addresses.storeProxy(index)));
  instance.peerProxy = std::make_unique<DatagramSocket>(this->context);
  return instance.peerProxy->open(
    this->addresses.peerProxy(index),
    [this, index](std::span<const std::uint8_t> bytes, const Endpoint& from) {
      Instance& receiver = this->instances[index];
      const auto sender = this->indexOf(from);
      if (!sender || receiver.blockedPeers.contains(*sender)) {
        return;
      }
      this->timers.after(
        receiver.peerDelay,
        [this, index, copy = std::vector(bytes.begin(), bytes.end())] {
          this->instances[index].peerProxy->send(copy,
                                                 this->addresses.peer(index));
        });
    });
}

void
Instances::writeSettings(const Instance& instance,
                         std::size_t index,
                         bool isInvalid) const
{
  const Addresses& addressPlan = this->addresses;
  boost::json::array seeds{ formatEndpoint(addressPlan.peerProxy(0)),
                            formatEndpoint(addressPlan.peerProxy(1)) };
  boost::json::object settings{
    { "id", "entry-" + std::to_string(index) },
    { "zone", instance.zone },
    { "packet_address", formatEndpoint(addressPlan.packets(index)) },
    { "ready_address", formatEndpoint(addressPlan.ready(index)) },
    { "operators_address", formatEndpoint(addressPlan.operators(index)) },
    { "peer_address", formatEndpoint(addressPlan.peer(index)) },
    { "peer_advertised_address", formatEndpoint(addressPlan.peerProxy(index)) },
    { "seeds", std::move(seeds) },
    { "store", formatEndpoint(addressPlan.storeProxy(index)) },
    { "fleet_key", "a key for soak runs alone" },
    { "stop_within_s", Bounds::kStopTimeout.ms / 1000 },
    { "log_level", "decisions" }
  };
  const std::string text = boost::json::serialize(settings);
  std::ofstream file(instance.settingsFile);
  file << (isInvalid ? text.substr(0, text.size() / 2) : text);
}

void
Instances::launch(std::size_t index)
{
  Instance& instance = this->instances[index];
  if (instance.process->isRunning()) {
    return;
  }
  this->writeSettings(instance, index, false);
  instance.wasKilled = false;
  instance.hasLogged = false;
  instance.stopRequestedAt.reset();
  ++instance.startCount;
  instance.startedAt = bootTime();
  const bool started =
    this->guarantees.mustSucceed([&] { return instance.process->launch(); });
  if (started && !instance.freezeStability.isFaultFree()) {
    instance.process->signal(SIGSTOP);
  }
}

void
Instances::checkLogLine(std::size_t index, const std::string& line)
{
  this->guarantees.count("log_lines");
  this->instances[index].hasLogged = true;
  boost::json::error_code code;
  const boost::json::value value = boost::json::parse(line, code);
  if (code || !value.is_object()) {
    this->guarantees.reportViolation("log_is_json",
                                     std::to_string(index) + ": " + line);
  }
}

void
Instances::pollProcesses()
{
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    const auto exitCode = this->instances[i].process->takeExit();
    if (exitCode) {
      this->onExit(i, *exitCode);
    }
  }
}

void
Instances::onExit(std::size_t index, int code)
{
  const Instance& instance = this->instances[index];
  this->guarantees.note("instance " + std::to_string(index) + " exited with " +
                        std::to_string(code));
  // A process can't handle SIGTERM before its main function has begun.
  const bool isStarting = !instance.hasLogged && code == -SIGTERM;
  const bool isPlanned = instance.stopRequestedAt && (code == 0 || isStarting);
  if (!isPlanned && !(instance.wasKilled && code == -SIGKILL)) {
    this->guarantees.reportViolation("runs_on",
                                     std::to_string(index) + " exited with " +
                                       std::to_string(code));
  }
}

}
