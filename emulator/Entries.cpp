#include "Entries.h"

#include <boost/json.hpp>
#include <csignal>
#include <fstream>

namespace buckthornwing::emulator {
namespace internal {

constexpr MilliDuration kWatchPeriod{ 20 };

}

Entries::Entries(boost::asio::io_context& context,
                 const Addresses& addresses,
                 Promises& promises,
                 std::string program,
                 std::string directory)
  : context(context)
  , timers{ context }
  , addresses(addresses)
  , promises(promises)
  , program(std::move(program))
  , directory(std::move(directory))
{
}

boost::leaf::result<void>
Entries::start(std::size_t count)
{
  this->entries.resize(count);
  for (std::size_t i = 0; i < count; ++i) {
    BOOST_LEAF_CHECK(this->prepare(i));
  }
  for (std::size_t i = 0; i < count; ++i) {
    this->launch(i);
  }
  this->timers.every(internal::kWatchPeriod, [this] { this->watch(); });
  return {};
}

std::optional<std::size_t>
Entries::indexOf(const Endpoint& address) const
{
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    if (this->addresses.packets(i).address == address.address) {
      return i;
    }
  }
  return std::nullopt;
}

void
Entries::harm(std::size_t index,
              const std::string& name,
              MilliDuration span,
              std::function<void(Entry&)> undo)
{
  this->promises.fault(
    name, std::to_string(index) + " for " + std::to_string(span.ms));
  this->entries[index].stability.begin();
  this->timers.after(span, [this, index, undo = std::move(undo)] {
    undo(this->entries[index]);
    this->entries[index].stability.end();
  });
}

void
Entries::kill(std::size_t index, MilliDuration downFor)
{
  Entry& entry = this->entries[index];
  if (!entry.process->isRunning()) {
    return;
  }
  entry.wasKilled = true;
  entry.process->signal(SIGKILL);
  this->harm(
    index, "kill", downFor, [this, index](Entry&) { this->launch(index); });
}

void
Entries::stop(std::size_t index, MilliDuration downFor)
{
  Entry& entry = this->entries[index];
  if (!entry.process->isRunning() || entry.stopAskedAt) {
    return;
  }
  entry.stopAskedAt = bootTime();
  entry.process->signal(SIGTERM);
  this->harm(
    index,
    "stop",
    Bounds::kStopWithin + downFor,
    [this, index](Entry& stopped) {
      if (stopped.process->isRunning() && !stopped.wasKilled) {
        // A frozen process can't stop in time; the fabric kills it then.
        if (stopped.running.isStable(Bounds::kStopWithin + Bounds::kSettled)) {
          this->promises.broken("stops_in_time", std::to_string(index));
        }
        stopped.wasKilled = true;
        stopped.process->signal(SIGKILL);
      }
      this->timers.after(internal::kWatchPeriod + internal::kWatchPeriod,
                         [this, index] { this->launch(index); });
    });
}

void
Entries::freeze(std::size_t index, MilliDuration span)
{
  Entry& entry = this->entries[index];
  if (!entry.process->isRunning()) {
    return;
  }
  entry.running.begin();
  entry.process->signal(SIGSTOP);
  this->harm(index, "freeze", span, [](Entry& entry) {
    entry.running.end();
    if (entry.running.isWell()) {
      entry.process->signal(SIGCONT);
    }
  });
}

void
Entries::reload(std::size_t index, bool isBroken)
{
  Entry& entry = this->entries[index];
  this->promises.fault(isBroken ? "bad_reload" : "reload",
                       std::to_string(index));
  this->writeSettings(entry, index, isBroken);
  entry.process->signal(SIGHUP);
  entry.stability.touch();
}

void
Entries::stallLog(std::size_t index, MilliDuration span)
{
  // Must change nothing, so the instance counts as stability.
  this->promises.fault("stalled_log", std::to_string(index));
  this->entries[index].process->setReading(false);
  this->timers.after(
    span, [this, index] { this->entries[index].process->setReading(true); });
}

void
Entries::cutStore(std::size_t index, StreamFault fault, MilliDuration span)
{
  this->entries[index].storeProxy->setFault(fault);
  this->harm(
    index,
    "store_link_" + std::to_string(static_cast<int>(fault)),
    span,
    [](Entry& entry) { entry.storeProxy->setFault(StreamFault::none); });
}

void
Entries::cutPeer(std::size_t index, std::size_t from, MilliDuration span)
{
  this->entries[index].blockedPeers.insert(from);
  this->harm(index,
             "blocked_from_" + std::to_string(from),
             span,
             [from](Entry& entry) { entry.blockedPeers.erase(from); });
}

void
Entries::delayPeers(std::size_t index, MilliDuration delay, MilliDuration span)
{
  this->entries[index].peerDelay = delay;
  this->harm(
    index, "peer_delay", span, [](Entry& entry) { entry.peerDelay = {}; });
}

void
Entries::checkMemory()
{
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    const auto size = this->entries[i].process->residentKilobytes();
    if (size > Bounds::kMostResidentKilobytes) {
      this->promises.broken("memory",
                            std::to_string(i) + " " + std::to_string(size));
    }
  }
}

boost::leaf::result<void>
Entries::prepare(std::size_t index)
{
  Entry& entry = this->entries[index];
  entry.zone = index % 2 == 0 ? "zone-a" : "zone-b";
  const std::string stem = this->directory + "/entry-" + std::to_string(index);
  entry.settingsFile = stem + ".json";
  this->writeSettings(entry, index, false);
  BOOST_LEAF_CHECK(this->openProxies(index));
  entry.process = std::make_unique<EntryProcess>(
    this->context,
    this->program,
    entry.settingsFile,
    stem + ".log",
    [this, index](const std::string& line) { this->takeLine(index, line); });
  return {};
}

boost::leaf::result<void>
Entries::openProxies(std::size_t index)
{
  Entry& entry = this->entries[index];
  entry.storeProxy =
    std::make_unique<StreamProxy>(this->context, this->addresses.store());
  BOOST_LEAF_CHECK(entry.storeProxy->open(this->addresses.storeProxy(index)));
  entry.peerProxy = std::make_unique<Datagrams>(this->context);
  return entry.peerProxy->open(
    this->addresses.peerProxy(index),
    [this, index](std::span<const std::uint8_t> bytes, const Endpoint& from) {
      Entry& receiver = this->entries[index];
      const auto sender = this->indexOf(from);
      if (!sender || receiver.blockedPeers.contains(*sender)) {
        return;
      }
      this->timers.after(
        receiver.peerDelay,
        [this, index, copy = std::vector(bytes.begin(), bytes.end())] {
          this->entries[index].peerProxy->send(copy,
                                               this->addresses.peer(index));
        });
    });
}

void
Entries::writeSettings(const Entry& entry,
                       std::size_t index,
                       bool isBroken) const
{
  const Addresses& plan = this->addresses;
  boost::json::array seeds{ formatEndpoint(plan.peerProxy(0)),
                            formatEndpoint(plan.peerProxy(1)) };
  boost::json::object settings{
    { "id", "entry-" + std::to_string(index) },
    { "zone", entry.zone },
    { "packet_address", formatEndpoint(plan.packets(index)) },
    { "ready_address", formatEndpoint(plan.ready(index)) },
    { "operators_address", formatEndpoint(plan.operators(index)) },
    { "peer_address", formatEndpoint(plan.peer(index)) },
    { "peer_advertised_address", formatEndpoint(plan.peerProxy(index)) },
    { "seeds", std::move(seeds) },
    { "store", formatEndpoint(plan.storeProxy(index)) },
    { "fleet_key", "a key for soak runs alone" },
    { "stop_within_s", Bounds::kStopWithin.ms / 1000 },
    { "log_level", "decisions" }
  };
  const std::string text = boost::json::serialize(settings);
  std::ofstream file(entry.settingsFile);
  file << (isBroken ? text.substr(0, text.size() / 2) : text);
}

void
Entries::launch(std::size_t index)
{
  Entry& entry = this->entries[index];
  if (entry.process->isRunning()) {
    return;
  }
  this->writeSettings(entry, index, false);
  entry.wasKilled = false;
  entry.stopAskedAt.reset();
  ++entry.starts;
  entry.startedAt = bootTime();
  const bool started =
    this->promises.mustSucceed([&] { return entry.process->launch(); });
  if (started && !entry.running.isWell()) {
    entry.process->signal(SIGSTOP);
  }
}

void
Entries::takeLine(std::size_t index, const std::string& line)
{
  this->promises.count("log_lines");
  boost::json::error_code code;
  const boost::json::value value = boost::json::parse(line, code);
  if (code || !value.is_object()) {
    this->promises.broken("log_is_json", std::to_string(index) + ": " + line);
  }
}

void
Entries::watch()
{
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    const auto end = this->entries[i].process->takeEnd();
    if (end) {
      this->onEnd(i, *end);
    }
  }
}

void
Entries::onEnd(std::size_t index, int code)
{
  const Entry& entry = this->entries[index];
  this->promises.note("entry " + std::to_string(index) + " ended with " +
                      std::to_string(code));
  const bool isPlanned = entry.stopAskedAt && code == 0;
  if (!isPlanned && !(entry.wasKilled && code == -SIGKILL)) {
    this->promises.broken(
      "runs_on", std::to_string(index) + " ended with " + std::to_string(code));
  }
}

}
