#ifndef BUCKTHORNWING_TEST_STORE_FLEET_H
#define BUCKTHORNWING_TEST_STORE_FLEET_H

#include <platform/StoreInput.h>
#include <standin/StoreData.h>
#include <standin/StoreEntries.h>
#include <test/tag/FleetWorld.h>

#include <memory>
#include <set>
#include <vector>

namespace buckthornwing::test {

/// \returns a configuration with one route, to the service "booking".
inline std::string
bookingConfiguration(std::uint64_t version)
{
  return standin::formatConfiguration(
    version,
    { { *parseEndpoint("203.0.113.1:443"), true, "booking" } },
    { "booking" });
}

/// \brief Simulated fleet whose instances read a simulated store through the
/// daemon's StoreCursor, in virtual time. Pages of listings are read one after
/// another, so changes may fall between them.
struct StoreFleet : FleetWorld
{
  standin::StoreData store;
  bool isStoreAway = false;
  std::set<Endpoint> cutFromStore;

  /// \brief Adds an instance, or starts it again.
  void start(std::uint16_t port)
  {
    const Endpoint address = this->add(kZones[port % kZones.size()], port);
    this->startedAt[address] = this->now;
    this->readers.erase(address);
    auto& [targets, routes] = this->readers[address];
    const platform::StoreInput input{ this->at(address),
                                      [this] { return this->now; },
                                      [] {} };
    targets.cursor = std::make_unique<platform::StoreCursor>(
      std::string(platform::kTargetKeyPrefix),
      MilliDuration{ 1000 },
      platform::targetCursorHooks(
        input, [this, &other = routes] { this->restart(other); }));
    routes.cursor = std::make_unique<platform::StoreCursor>(
      std::string(platform::kOperatorKeyPrefix),
      MilliDuration{ 2000 },
      platform::operatorCursorHooks(
        input, [this, &other = targets] { this->restart(other); }));
  }

  /// \brief Lets the store come back from a copy. Pending requests fail.
  void restoreStore(const standin::StoreData::Copy& copy)
  {
    this->store.restore(copy);
  }

  /// \brief Advances the time by one step, in which stores are read, messages
  /// are delivered and probes are answered.
  /// \param isAlive whether a probe of a target's address is answered
  template<typename IsAlive>
  void step(const IsAlive& isAlive)
  {
    this->run(kStep);
    for (auto& [address, engine] : this->engines) {
      auto& [targets, routes] = this->readers[address];
      if (engine->needsTargetListing(this->now)) {
        this->send(targets, targets.cursor->startListing(this->now));
      }
      this->stepReader(address, targets);
      this->stepReader(address, routes);
      for (const TargetSlot slot : engine->takeProbes()) {
        const TargetRecord& record = engine->board().registry.at(slot).record;
        engine->onProbeResult(slot,
                              isAlive(record) ? ProbeResult::alive
                                              : ProbeResult::refused,
                              this->now);
      }
      engine->takeEvents();
    }
  }

  /// \brief Advances the time while all targets answer.
  void advance(MilliDuration span)
  {
    for (const MilliTime end = this->now + span; this->now < end;) {
      this->step([](const TargetRecord&) { return true; });
    }
  }

  std::map<Endpoint, MilliTime> startedAt;

private:
  static constexpr MilliDuration kStep{ 10 };
  static constexpr MilliDuration kAnswerTime{ 30 };
  static constexpr MilliDuration kRetryTime{ 300 };
  static constexpr std::size_t kPageItems = 3;
  static constexpr std::array<const char*, 3> kZones{ "a", "b", "c" };

  /// \brief A cursor and its pending request.
  struct Reader
  {
    std::unique_ptr<platform::StoreCursor> cursor;
    platform::StoreRequest request;
    bool isPending = false;
    MilliTime sentAt{};
    StoreEra sentIn = 0; ///< the store's era when the request was sent
    MilliTime nextAt{};
  };

  std::map<Endpoint, std::pair<Reader, Reader>> readers;

  void send(Reader& reader, platform::StoreRequest request)
  {
    reader.request = std::move(request);
    reader.isPending = true;
    reader.sentAt = this->now;
    reader.sentIn = this->store.era();
  }

  void restart(Reader& reader)
  {
    if (reader.cursor->isWatching()) {
      reader.isPending = false;
      reader.nextAt = this->now;
    }
  }

  void stepReader(const Endpoint& address, Reader& reader)
  {
    TagEngine& engine = this->at(address);
    if (!reader.isPending) {
      if (this->now >= reader.nextAt && engine.shouldReadStore(this->now)) {
        this->send(reader, reader.cursor->next(this->now));
      }
      return;
    }
    const bool isLost = this->isStoreAway ||
                        this->cutFromStore.contains(address) ||
                        reader.sentIn != this->store.era();
    if (isLost) {
      reader.isPending = false;
      reader.nextAt = this->now + kRetryTime;
      engine.onStoreFailure("no response", this->now);
      return;
    }
    const auto answer = this->answerOf(reader);
    if (answer) {
      reader.isPending = false;
      this->onOutcome(engine,
                      reader,
                      reader.cursor->onReply(
                        { answer->status, answer->body, this->store.era() }));
    }
  }

  std::optional<standin::StoreAnswer> answerOf(const Reader& reader) const
  {
    const platform::StoreRequest& request = reader.request;
    const MilliDuration waited = this->now - reader.sentAt;
    if (request.isWatch) {
      return this->store.watch(
        request.prefix, request.afterRevision, waited >= request.wait);
    }
    return waited < kAnswerTime
             ? std::nullopt
             : std::optional(this->store.list(
                 request.prefix, request.afterKey, kPageItems));
  }

  void onOutcome(TagEngine& engine,
                 Reader& reader,
                 const platform::StoreOutcome& outcome)
  {
    using Kind = platform::StoreOutcome::Kind;
    reader.nextAt = this->now;
    if (outcome.kind == Kind::page) {
      this->send(reader, reader.cursor->nextPage());
    } else if (outcome.kind == Kind::failed) {
      reader.nextAt = this->now + kRetryTime;
      engine.onStoreFailure(outcome.cause, this->now);
    } else if (outcome.kind == Kind::changed) {
      reader.nextAt = this->now + MilliDuration{ 400 };
    }
  }
};

}

#endif
