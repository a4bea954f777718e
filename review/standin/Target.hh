#ifndef REVIEW_TARGET_HH
#define REVIEW_TARGET_HH

#include "HttpServer.hh"
#include "Packet.hh"
#include "Record.hh"
#include "Store.hh"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace review {

/// \brief A request that a target began to work on.
struct Run
{
  std::string requestId;
  std::string targetId;
  std::string service;
  std::uint16_t routePort = 0;
  std::int64_t sentAt = 0;    ///< when the caller sent the flow's opening
  std::int64_t arrivedAt = 0; ///< when the target took the opening
};

struct TargetSettings
{
  std::string id;
  std::uint64_t number = 0;
  std::string service;
  std::string zone;
  Address address;
  std::uint16_t callerPort = 0; ///< UDP port of the fabric for callers
  std::int64_t warmupMs = 0;
};

/// \brief Stand-in for a target: answers requests that arrive in flows, and
/// registers itself in the store.
class Target
{
public:
  static constexpr std::int64_t kHeartbeatMs = 1200;
  static constexpr std::int64_t kRetryMs = 250;
  static constexpr std::int64_t kWorkMs = 30;
  static constexpr std::size_t kSlots = 3;
  static constexpr std::size_t kQueue = 12;

  Target(EventLoop& loop,
         Record& record,
         Store& store,
         TargetSettings settings,
         std::function<void(const Run&)> onRun,
         std::function<std::int64_t(const Address& caller)> openingSentAt);
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;
  ~Target() { this->closeSocket(); }

  /// \brief Registers now, and again with each heartbeat.
  void start();
  /// \brief Reports draining; again with each heartbeat until it is accepted.
  void drain();
  /// \brief Ends the target, and removes its registration.
  void leave();

  const TargetSettings& about() const { return this->settings; }
  /// \returns the time at which the store accepted the report of draining, -1
  /// before.
  std::int64_t drainAcceptedAt() const { return this->drainAccepted; }

private:
  struct Flow
  {
    Address caller;
    Address route;
    std::uint32_t echo = 0;
    std::uint32_t ownSequence = 0; ///< of the SYN+ACK
    std::uint32_t expected = 0;    ///< next byte of the caller
    std::uint32_t answered = 0;    ///< acknowledged bytes of answers
    bool isOpen = false;
    bool isWorking = false;
    bool hasEnded = false; ///< it was closed by both sides
    std::string input;
    std::string answer; ///< sent and not acknowledged
    int retransmissions = 0;
    std::int64_t openingSentAt = 0;
    std::int64_t arrivedAt = 0;
  };
  using FlowKey = std::pair<Address, Address>;

  EventLoop& loop;
  Record& record;
  Store& store;
  TargetSettings settings;
  std::function<void(const Run&)> onRun;
  std::function<std::int64_t(const Address&)> openingSentAt;
  int socket = -1;
  std::unique_ptr<HttpServer> health;
  std::map<FlowKey, Flow> flows;
  std::deque<FlowKey> queue;
  std::size_t busy = 0;
  bool isDraining = false;
  bool hasLeft = false;
  std::int64_t bornUnixMs = 0;
  std::int64_t startedAt = 0;
  std::int64_t drainAccepted = -1;
  std::uint64_t heartbeats = 0;
  std::mt19937 random;

  std::string entry(bool withCounter) const;
  void beat();
  void closeSocket();
  void receive();
  void onPacket(const Packet& packet);
  void onSyn(const Packet& packet);
  void onData(Flow& flow, const FlowKey& key);
  void startWork(const FlowKey& key);
  void finishWork(const FlowKey& key);
  void sendAnswer(const FlowKey& key, std::int64_t delayMs);
  void send(const Flow& flow,
            std::uint8_t flags,
            std::uint32_t sequence,
            const std::string& data);
  void sendReset(const Packet& packet);
};

}

#endif
