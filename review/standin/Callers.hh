#ifndef REVIEW_CALLERS_HH
#define REVIEW_CALLERS_HH

#include "Packet.hh"
#include "Record.hh"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace review {

/// \brief An instance as the routers see it.
struct Node
{
  std::string name;
  std::string zone;
  Address packets;
  Address ready;
  int misses = 2; ///< consecutive failed checks
  bool inRotation() const { return this->misses < 2; }
};

/// \brief A kind of requests.
struct RequestKind
{
  std::string name;
  Address route;
  bool isIdempotent = false;
  std::int64_t periodMs = 0; ///< between requests of one zone
  std::int64_t firstAt = 0;
  std::int64_t lastAt = 0;
  /// Flows of each zone that are kept open for requests, one each period; 0: a
  /// flow for each request.
  int longFlows = 0;
};

/// \brief How an attempt ended.
enum class AttemptEnd
{
  answered,
  notOpened, ///< no SYN+ACK
  reset,
  lost, ///< opened, and not answered by the deadline
};

struct Attempt
{
  std::string requestId;
  std::string kind;
  std::uint16_t routePort = 0;
  std::int64_t sentAt = 0;
  AttemptEnd end = AttemptEnd::lost;
  std::string targetId; ///< that answered on the flow before; empty: none
  bool isResetBySystem = false; ///< the reset has no sum
  std::int64_t endedAt = 0;
};

/// \brief Stand-in for the callers of all zones and the platform's routers.
class Callers
{
public:
  Callers(EventLoop& loop, Record& record, std::uint16_t callerPort);

  void addZone(const std::string& zone, std::uint32_t callerIp);
  void addNode(const Node& node);
  /// \brief Starts the checks of the instances' readiness.
  void startChecks();
  bool allReady() const;
  void startRequests(const RequestKind& kind);

  /// \returns when a caller's port sent its last opening or copy.
  std::int64_t openingSentAt(const Address& caller) const;

  std::function<void(const Attempt&)> onAttempt;
  const std::vector<Node>& all() const { return this->nodes; }

private:
  struct Zone
  {
    std::string name;
    std::uint32_t callerIp = 0;
    int socket = -1;
    std::uint16_t nextPort = 30000;
  };
  struct Flow
  {
    std::size_t zone = 0;
    RequestKind kind;
    std::string requestId;
    Address caller;
    std::int64_t startedAt = 0;
    std::int64_t openingSentAt = 0;
    std::int64_t deadline = 0; ///< of the request, over all attempts
    int attempt = 0;
    std::uint32_t echo = 0;
    std::uint32_t sequence = 0; ///< of the SYN
    std::uint32_t expected = 0; ///< next byte of the target
    bool isOpen = false;
    bool isDone = false;
    bool isResetBySystem = false;
    std::string answer;
    std::string targetId;
    std::uint32_t answers = 0;  ///< complete ones
    std::uint32_t nextByte = 0; ///< sequence number of the next request
  };

  EventLoop& loop;
  Record& record;
  std::uint16_t callerPort;
  std::vector<Zone> zones;
  std::vector<Node> nodes;
  std::map<Address, std::shared_ptr<Flow>> flows;
  std::map<Address, std::int64_t> openings;
  std::uint64_t requestCount = 0;
  std::mt19937 random{ 1 };

  void check(Node& node);
  const Node* choose(const Flow& flow) const;
  void send(const Flow& flow,
            std::uint8_t flags,
            std::uint32_t sequence,
            std::uint32_t acknowledged,
            const std::string& data);
  void request(std::size_t zone, const RequestKind& kind);
  void keepLongFlow(std::size_t zone, const RequestKind& kind);
  void onAnswer(const std::shared_ptr<Flow>& flow);
  void sendNext(const std::shared_ptr<Flow>& flow);
  void open(std::size_t zone,
            const RequestKind& kind,
            const std::string& id,
            std::int64_t deadline,
            int attempt);
  void sendSyn(const std::shared_ptr<Flow>& flow, std::uint32_t copies);
  void sendRequest(const std::shared_ptr<Flow>& flow, std::int64_t delayMs);
  std::string requestText(const Flow& flow) const;
  void receive(std::size_t zone);
  void onPacket(const Packet& packet);
  void finish(const std::shared_ptr<Flow>& flow, AttemptEnd end);
};

}

#endif
