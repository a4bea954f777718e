/// \file
/// \brief Stand-ins for a run of the daemon on loopback: the platform's store,
/// targets, a caller, and a launcher of instances. Header only, one thread for
/// each part.

#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// \brief Period at which targets renew their registrations: heartbeat_ms.
inline constexpr int kHeartbeatMs = 1200;

/// \returns milliseconds of the steady clock.
inline std::int64_t
nowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           Clock::now().time_since_epoch())
    .count();
}

inline std::int64_t
unixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
sleepMs(std::int64_t ms)
{
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}

/// \brief The case can't run on this machine.
struct CannotRun : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// \brief IPv4 address and port.
struct Address
{
  std::string ip;
  std::uint16_t port = 0;

  std::string text() const { return ip + ":" + std::to_string(port); }
  std::uint32_t bits() const { return ntohl(inet_addr(ip.c_str())); }
  sockaddr_in raw() const
  {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = inet_addr(ip.c_str());
    return out;
  }
};

inline std::string
ipText(std::uint32_t bits)
{
  in_addr in{};
  in.s_addr = htonl(bits);
  return inet_ntoa(in);
}

/// \brief Writes what happens to a file, with the time since the start.
class Record
{
public:
  explicit Record(const std::string& path)
    : file(std::fopen(path.c_str(), "w"))
    , startedAt(nowMs())
  {
    if (file == nullptr) {
      throw CannotRun("can't write " + path);
    }
  }
  ~Record() { std::fclose(file); }

  void line(const std::string& text)
  {
    const std::lock_guard<std::mutex> lock(mutex);
    std::fprintf(file,
                 "%8.3f  %s\n",
                 static_cast<double>(nowMs() - startedAt) / 1000,
                 text.c_str());
    std::fflush(file);
  }

private:
  std::FILE* file;
  std::int64_t startedAt;
  std::mutex mutex;
};

inline int
bindSocket(int type, const Address& at)
{
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in raw = at.raw();
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0) {
    ::close(fd);
    throw CannotRun("can't bind " + at.text());
  }
  return fd;
}

inline bool
waitReadable(int fd, int ms)
{
  pollfd entry{ fd, POLLIN, 0 };
  return ::poll(&entry, 1, ms) > 0;
}

/// \brief A thread that runs until it is told to stop.
class Worker
{
public:
  ~Worker() { stop(); }
  void start(std::function<void()> step)
  {
    thread = std::thread([this, step = std::move(step)] {
      while (!stopping) {
        step();
      }
    });
  }
  void stop()
  {
    stopping = true;
    if (thread.joinable()) {
      thread.join();
    }
  }
  std::atomic<bool> stopping{ false };

private:
  std::thread thread;
};

/// \brief Minimal HTTP/1.1 server: one GET a connection.
class HttpServer
{
public:
  /// Returns the whole response.
  using Handler = std::function<std::string(const std::string& target)>;

  void start(const Address& at, Handler newHandler)
  {
    handler = std::move(newHandler);
    fd = bindSocket(SOCK_STREAM, at);
    if (::listen(fd, 512) != 0) {
      throw CannotRun("can't listen at " + at.text());
    }
    worker.start([this] {
      if (!waitReadable(fd, 50)) {
        return;
      }
      const int peer = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0) {
        return;
      }
      ++open;
      std::thread([this, peer] {
        serve(peer);
        --open;
      }).detach();
    });
  }
  ~HttpServer()
  {
    worker.stop();
    closing = true;
    while (open > 0) {
      sleepMs(5);
    }
    if (fd >= 0) {
      ::close(fd);
    }
  }
  std::atomic<bool> closing{ false };

private:
  Handler handler;
  int fd = -1;
  std::atomic<int> open{ 0 };
  Worker worker;

  void serve(int peer)
  {
    std::string head;
    char buffer[4096];
    while (head.find("\r\n\r\n") == std::string::npos && !closing) {
      if (!waitReadable(peer, 100)) {
        continue;
      }
      const ssize_t size = ::recv(peer, buffer, sizeof buffer, 0);
      if (size <= 0) {
        ::close(peer);
        return;
      }
      head.append(buffer, static_cast<std::size_t>(size));
    }
    const std::size_t from = head.find(' ') + 1;
    const std::string answer =
      handler(head.substr(from, head.find(' ', from) - from));
    std::size_t sent = 0;
    while (sent < answer.size()) {
      const ssize_t size =
        ::send(peer, answer.data() + sent, answer.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        break;
      }
      sent += static_cast<std::size_t>(size);
    }
    ::shutdown(peer, SHUT_WR);
    while (!closing && waitReadable(peer, 200) &&
           ::recv(peer, buffer, sizeof buffer, 0) > 0) {
    }
    ::close(peer);
  }
};

inline std::string
httpAnswer(int status, const std::string& fields, const std::string& body)
{
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) +
         "\r\nConnection: close\r\n\r\n" + body;
}

/// \returns the status of a GET, 0 without an answer.
inline int
httpStatus(const Address& at, const std::string& path)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in raw = at.raw();
  int status = 0;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0) {
    const std::string request =
      "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    ::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    char buffer[64];
    if (waitReadable(fd, 1000)) {
      const ssize_t size = ::recv(fd, buffer, sizeof buffer - 1, 0);
      if (size > 12) {
        buffer[size] = 0;
        status = std::atoi(buffer + 9);
      }
    }
  }
  ::close(fd);
  return status;
}

inline std::string
base64(const std::string& bytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      word =
        word << 8 |
        (i + k < bytes.size() ? static_cast<std::uint8_t>(bytes[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k > bytes.size() ? '=' : kDigits[word >> (18 - 6 * k) & 63];
    }
  }
  return out;
}

/// \brief The platform's store: keys with revisions, listings and watches.
class Store
{
public:
  Store(const Address& newAddress, Record& newRecord)
    : address(newAddress)
    , record(newRecord)
  {
    listen(server, address);
  }
  ~Store()
  {
    closing = true;
    changed.notify_all();
  }

  /// \brief Answers at a further address, with the same data.
  void listenAlso(const Address& further) { listen(furtherServer, further); }
  /// \brief No longer answers at the first address.
  void closeFirst()
  {
    server->closing = true;
    changed.notify_all();
    server.reset();
  }

  /// \brief Writes a key. Its return is the acknowledgement.
  void put(const std::string& key, const std::string& value)
  {
    const std::lock_guard<std::mutex> lock(mutex);
    Item& item = items[key];
    item.revision = ++revision;
    item.created = item.created == 0 ? revision : item.created;
    item.value = value;
    history.push_back({ key, revision, value, false });
    changed.notify_all();
  }
  /// \brief Writes a heartbeat. The entry changes only if more than its number
  /// changes.
  /// \param value up to the number, which follows in \a number
  void beat(const std::string& key,
            const std::string& value,
            const std::string& number)
  {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      const auto at = items.find(key);
      if (at != items.end() && at->second.value.starts_with(value)) {
        at->second.value = value + number;
        return;
      }
    }
    put(key, value + number);
  }
  void remove(const std::string& key)
  {
    const std::lock_guard<std::mutex> lock(mutex);
    items.erase(key);
    history.push_back({ key, ++revision, {}, true });
    changed.notify_all();
  }

  const Address address;

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event
  {
    std::string key;
    std::uint64_t revision = 0;
    std::string value;
    bool isGone = false;
  };

  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::deque<Event> history;
  std::uint64_t revision = 10;
  std::atomic<bool> closing{ false };
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpServer> furtherServer;

  void listen(std::unique_ptr<HttpServer>& at, const Address& here)
  {
    at = std::make_unique<HttpServer>();
    at->start(here,
              [this, &isClosing = at->closing](const std::string& target) {
                return serve(target, isClosing);
              });
  }

  static std::string query(const std::string& target, const std::string& name)
  {
    const std::size_t at =
      std::min(target.find("?" + name + "="), target.find("&" + name + "="));
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t from = at + name.size() + 2;
    return target.substr(from, target.find('&', from) - from);
  }

  std::string answer(const std::string& body) const
  {
    return httpAnswer(
      200, "Content-Type: application/json\r\nStore-Era: 1\r\n", body);
  }

  std::string serve(const std::string& target,
                    const std::atomic<bool>& isClosing)
  {
    const std::string prefix = query(target, "prefix");
    std::unique_lock<std::mutex> lock(mutex);
    if (target.starts_with("/-/kv-range")) {
      const std::string after = query(target, "after");
      std::string list;
      std::size_t count = 0;
      bool more = false;
      for (const auto& [key, item] : items) {
        if (!key.starts_with(prefix) || key <= after) {
          continue;
        }
        if (++count > 500) {
          more = true;
          break;
        }
        list += (list.empty() ? "" : ",") + std::string("{\"key\":\"") + key +
                "\",\"value\":\"" + base64(item.value) +
                "\",\"revision\":" + std::to_string(item.revision) +
                ",\"created_rev\":" + std::to_string(item.created) +
                ",\"lease\":0}";
      }
      return answer("{\"items\":[" + list +
                    "],\"has_more\":" + (more ? "true" : "false") +
                    ",\"as_of\":" + std::to_string(revision) + "}");
    }
    if (!target.starts_with("/-/kv-watch")) {
      return httpAnswer(404, "Store-Era: 1\r\n", "");
    }
    const std::uint64_t after =
      std::strtoull(query(target, "after").c_str(), nullptr, 10);
    const auto until =
      Clock::now() +
      std::chrono::milliseconds(std::atoi(query(target, "wait_ms").c_str()));
    std::string events;
    const auto collect = [&] {
      for (const Event& event : history) {
        if (event.revision <= after || !event.key.starts_with(prefix)) {
          continue;
        }
        events +=
          (events.empty() ? "" : ",") + std::string("{\"key\":\"") + event.key +
          "\",\"revision\":" + std::to_string(event.revision) +
          (event.isGone ? std::string(",\"is_gone\":true}")
                        : ",\"value\":\"" + base64(event.value) + "\"}");
      }
      return !events.empty();
    };
    while (!collect() && !closing && !isClosing &&
           changed.wait_until(lock, until) != std::cv_status::timeout) {
    }
    return answer("{\"events\":[" + events +
                  "],\"as_of\":" + std::to_string(revision) + "}");
  }
};

/// \brief Header of a packet between callers and targets.
struct Packet
{
  std::uint16_t dport = 0, sport = 0;
  std::uint32_t src = 0, dst = 0, echo = 0;
  std::uint8_t flags = 0;
  std::uint32_t seq = 0, ack = 0, sum = 0;
  std::string data;
};

inline constexpr std::uint8_t kSyn = 128, kAck = 4, kFin = 8, kRst = 64;
inline constexpr std::size_t kHead = 32;

inline std::string
encode(const Packet& p)
{
  std::string out;
  const auto put = [&](std::uint64_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) {
      out += static_cast<char>(value >> (8 * i) & 0xff);
    }
  };
  put(p.dport, 2), put(p.sport, 2), put(p.src, 4), put(p.dst, 4);
  put(p.echo, 4), put(p.data.size(), 2), put(p.flags, 1), put(0, 1);
  put(p.seq, 4), put(p.ack, 4), put(p.sum, 4);
  return out + p.data;
}

inline std::optional<Packet>
decode(const std::string& bytes)
{
  if (bytes.size() < kHead) {
    return std::nullopt;
  }
  const auto get = [&](std::size_t at, int count) {
    std::uint64_t value = 0;
    for (int i = 0; i < count; ++i) {
      value = value << 8 |
              static_cast<std::uint8_t>(bytes[at + static_cast<unsigned>(i)]);
    }
    return value;
  };
  Packet p;
  p.dport = static_cast<std::uint16_t>(get(0, 2));
  p.sport = static_cast<std::uint16_t>(get(2, 2));
  p.src = static_cast<std::uint32_t>(get(4, 4));
  p.dst = static_cast<std::uint32_t>(get(8, 4));
  p.echo = static_cast<std::uint32_t>(get(12, 4));
  p.flags = static_cast<std::uint8_t>(get(18, 1));
  p.seq = static_cast<std::uint32_t>(get(20, 4));
  p.ack = static_cast<std::uint32_t>(get(24, 4));
  p.sum = static_cast<std::uint32_t>(get(28, 4));
  p.data = bytes.substr(kHead);
  return p;
}

/// \brief A target: registers itself, answers health checks and serves flows.
/// Serves each request at once with its Request-Id as the body.
class Target
{
public:
  struct Flow
  {
    std::uint32_t seq = 0;  ///< next byte of this target
    std::uint32_t ack = 0;  ///< next byte expected of the caller
    std::uint32_t echo = 0; ///< last one received
    std::map<std::uint32_t, std::string> answers;
  };
  using FlowId = std::pair<std::uint64_t, std::uint64_t>;

  Target(std::string newId,
         std::string newService,
         std::string newZone,
         const Address& newAddress,
         std::uint16_t callersPort,
         Store& newStore,
         Record& newRecord)
    : id(std::move(newId))
    , service(std::move(newService))
    , zone(std::move(newZone))
    , address(newAddress)
    , number(std::strtoull(id.substr(id.rfind('-') + 1).c_str(), nullptr, 16))
    , callersPort(callersPort)
    , store(newStore)
    , record(newRecord)
    , born(unixMs())
  {
    fd = bindSocket(SOCK_DGRAM, address);
    health.start(address, [this](const std::string&) {
      return httpAnswer(state == "ready" ? 200 : 503,
                        "Target-Id: " + id + "\r\nTarget-Load: 0,0,8\r\n",
                        "ok");
    });
    write();
    worker.start([this] {
      if (waitReadable(fd, 20)) {
        receive();
      }
    });
    heartbeat.start([this] {
      sleepMs(20);
      if (nowMs() >= nextBeat) {
        nextBeat = nowMs() + kHeartbeatMs;
        write();
      }
    });
  }
  ~Target()
  {
    heartbeat.stop();
    worker.stop();
    ::close(fd);
  }

  /// \brief Registers with a state; returns when the store has accepted it.
  void report(const std::string& newState)
  {
    state = newState;
    write();
  }

  /// \returns an entry up to its number.
  std::string entry(std::int64_t bornAt,
                    const Address& at,
                    const std::string& of) const
  {
    return "{\"service\":\"" + of + "\",\"address\":\"" + at.text() +
           "\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"slots\":3,\"state\":\"" + state +
           "\",\"warmup_left_ms\":0,\"born\":" + std::to_string(bornAt) +
           ",\"seq\":";
  }
  /// \brief Writes the target's entry, as with each heartbeat.
  void write()
  {
    store.beat("servers/" + id,
               entry(born, address, service),
               std::to_string(++beats) + "}");
  }

  /// \returns the requests that ran here, by id, with the time of their start.
  std::map<std::string, std::int64_t> ran()
  {
    const std::lock_guard<std::mutex> lock(mutex);
    return runs;
  }
  /// \returns when the opening of a flow of a caller's port arrived first.
  std::map<std::uint16_t, std::int64_t> openings()
  {
    const std::lock_guard<std::mutex> lock(mutex);
    return opened;
  }
  /// \returns the packets that arrived for another target: time and caller's
  /// port.
  std::vector<std::pair<std::int64_t, std::uint16_t>> strays()
  {
    const std::lock_guard<std::mutex> lock(mutex);
    return foreign;
  }
  /// \returns the packets of open flows that arrived: time and caller's port.
  std::vector<std::pair<std::int64_t, std::uint16_t>> packets()
  {
    const std::lock_guard<std::mutex> lock(mutex);
    return arrivals;
  }

  const std::string id, service, zone;
  const Address address;
  const std::uint64_t number;

private:
  std::uint16_t callersPort;
  Store& store;
  Record& record;
  std::int64_t born;
  std::string state = "ready";
  std::int64_t nextBeat = nowMs() + kHeartbeatMs;
  std::atomic<std::uint64_t> beats{ 0 };
  int fd = -1;
  HttpServer health;
  std::mutex mutex;
  std::map<FlowId, Flow> flows;
  std::map<std::string, std::int64_t> runs;
  std::map<std::uint16_t, std::int64_t> opened;
  std::vector<std::pair<std::int64_t, std::uint16_t>> foreign, arrivals;
  Worker worker;
  Worker heartbeat;

  void send(const Packet& to, const Packet& answer) const
  {
    Packet out = answer;
    out.src = to.dst, out.sport = to.dport;
    out.dst = to.src, out.dport = to.sport;
    out.sum = 0x5eed0001;
    const sockaddr_in raw = Address{ ipText(to.src), callersPort }.raw();
    const std::string bytes = encode(out);
    ::sendto(fd,
             bytes.data(),
             bytes.size(),
             0,
             reinterpret_cast<const sockaddr*>(&raw),
             sizeof raw);
  }

  void receive()
  {
    char buffer[2048];
    const ssize_t size = ::recv(fd, buffer, sizeof buffer, 0);
    if (size < 8) {
      return;
    }
    const std::string bytes(buffer, static_cast<std::size_t>(size));
    std::uint64_t intended = 0;
    for (int i = 0; i < 8; ++i) {
      intended = intended << 8 | static_cast<std::uint8_t>(bytes[i]);
    }
    const auto packet = decode(bytes.substr(8));
    if (!packet) {
      return;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    if (intended != 0 && intended != number) {
      foreign.emplace_back(nowMs(), packet->sport);
      return;
    }
    handle(*packet);
  }

  void handle(const Packet& packet)
  {
    const FlowId key{ std::uint64_t{ packet.src } << 16 | packet.sport,
                      std::uint64_t{ packet.dst } << 16 | packet.dport };
    if ((packet.flags & kSyn) != 0) {
      opened.try_emplace(packet.sport, nowMs());
      auto [at, isNew] = flows.try_emplace(key);
      Flow& flow = at->second;
      if (isNew) {
        flow.seq = static_cast<std::uint32_t>(number) * 7919u + packet.seq;
        flow.ack = packet.seq + 1;
      }
      flow.echo = packet.echo;
      Packet answer;
      answer.flags = kSyn | kAck;
      answer.seq = flow.seq, answer.ack = flow.ack, answer.echo = flow.echo;
      send(packet, answer);
      return;
    }
    arrivals.emplace_back(nowMs(), packet.sport);
    const auto found = flows.find(key);
    Packet answer;
    if (found == flows.end()) {
      if ((packet.flags & kRst) == 0) {
        answer.flags = kRst;
        answer.seq = packet.ack;
        send(packet, answer);
      }
      return;
    }
    Flow& flow = found->second;
    flow.echo = packet.echo;
    if ((packet.flags & kRst) != 0) {
      flows.erase(found);
      return;
    }
    answer.flags = kAck;
    answer.echo = flow.echo;
    if (!packet.data.empty()) {
      if (packet.seq == flow.ack) {
        flow.ack += static_cast<std::uint32_t>(packet.data.size());
        const std::string name = requestId(packet.data);
        if (!runs.try_emplace(name, nowMs()).second) {
          record.line("target " + id + " runs " + name + " AGAIN");
        }
        const std::string body =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(name.size()) +
          "\r\n\r\n" + name;
        flow.answers[flow.seq + 1] = body;
        flow.seq += static_cast<std::uint32_t>(body.size());
      }
      // Sends the newest answer, again if the request was repeated.
      const auto last = flow.answers.rbegin();
      answer.seq = last->first, answer.ack = flow.ack,
      answer.data = last->second;
      send(packet, answer);
      return;
    }
    if ((packet.flags & kFin) != 0) {
      answer.flags = kAck | kFin;
      answer.seq = flow.seq + 1, answer.ack = packet.seq + 1;
      send(packet, answer);
    }
  }

  static std::string requestId(const std::string& head)
  {
    const std::size_t at = head.find("Request-Id: ");
    const std::size_t from = at + 12;
    return at == std::string::npos
             ? "?"
             : head.substr(from, head.find('\r', from) - from);
  }
};

/// \brief A caller's address with all its flows. The packets of a flow go to
/// the instance that the test names.
class Caller
{
public:
  enum class End
  {
    answered,
    refused, ///< a reset before the flow opened
    reset,   ///< a reset of the open flow
    silent,  ///< nothing came
  };
  struct Flow
  {
    std::uint16_t port = 0;
    Address route;
    std::uint32_t seq = 0, ack = 0, echo = 0;
    bool isOpen = false;
    std::uint32_t targetSeq = 0; ///< of the SYN+ACK that opened the flow
  };

  explicit Caller(const Address& newAddress)
    : address(newAddress)
  {
    // Ports differ between callers, so that a port names a flow.
    static std::atomic<std::uint16_t> nextRange{ 10000 };
    lastPort = nextRange.fetch_add(kPortsPerCaller);
    fd = bindSocket(SOCK_DGRAM, address);
    worker.start([this] {
      if (waitReadable(fd, 20)) {
        receive();
      }
    });
  }
  ~Caller()
  {
    worker.stop();
    ::close(fd);
  }

  Flow newFlow(const Address& route)
  {
    Flow flow;
    flow.port = ++lastPort;
    flow.route = route;
    flow.seq = flow.port * 2654435761u;
    return flow;
  }

  /// \brief Opens a flow: a SYN and its copies after 200 and 600 ms.
  End open(Flow& flow, const Address& instance)
  {
    const std::int64_t from = nowMs();
    const std::int64_t copies[] = { 0, 200, 600 };
    std::size_t sent = 0;
    while (nowMs() - from < 1400) {
      if (sent < 3 && nowMs() - from >= copies[sent]) {
        Packet packet;
        packet.flags = kSyn;
        packet.seq = flow.seq;
        packet.ack = static_cast<std::uint32_t>(sent++);
        send(flow, packet, instance);
      }
      const auto got = take(flow.port, 20);
      if (!got) {
        continue;
      }
      if ((got->flags & kRst) != 0) {
        return End::refused;
      }
      if ((got->flags & (kSyn | kAck)) == (kSyn | kAck)) {
        flow.isOpen = true;
        flow.seq += 1;
        flow.targetSeq = got->seq;
        flow.ack = got->seq + 1;
        flow.echo = got->echo;
        Packet packet;
        packet.flags = kAck;
        send(flow, packet, instance);
        return End::answered;
      }
    }
    return End::silent;
  }

  /// \brief Sends a request on an open flow and waits for its answer. Repeats
  /// it after 200 ms, then after twice the time up to 1.6 s.
  /// \param instanceAt the instance that gets the packets at present
  End request(Flow& flow,
              const std::string& id,
              const std::function<Address()>& instanceAt,
              std::int64_t deadlineMs)
  {
    Packet packet;
    packet.flags = kAck;
    packet.data = "GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\n\r\n";
    const std::int64_t from = nowMs();
    std::int64_t next = from;
    std::int64_t pause = 200;
    while (nowMs() - from < deadlineMs) {
      if (nowMs() >= next) {
        send(flow, packet, instanceAt());
        next = nowMs() + pause;
        pause = std::min<std::int64_t>(2 * pause, 1600);
      }
      const auto got = take(flow.port, 20);
      if (!got) {
        continue;
      }
      if ((got->flags & kRst) != 0) {
        lastReset = *got;
        return End::reset;
      }
      flow.echo = got->echo;
      if (!got->data.empty() && got->seq == flow.ack) {
        flow.seq += static_cast<std::uint32_t>(packet.data.size());
        flow.ack += static_cast<std::uint32_t>(got->data.size());
        Packet ack;
        ack.flags = kAck;
        send(flow, ack, instanceAt());
        const bool isOwn = got->data.ends_with("\r\n\r\n" + id);
        return isOwn ? End::answered : End::silent;
      }
    }
    return End::silent;
  }

  /// \brief Closes a flow.
  void close(Flow& flow, const Address& instance)
  {
    Packet packet;
    packet.flags = kAck | kFin;
    send(flow, packet, instance);
  }

  void send(const Flow& flow, Packet packet, const Address& instance)
  {
    packet.src = address.bits(), packet.sport = flow.port;
    packet.dst = flow.route.bits(), packet.dport = flow.route.port;
    const bool isOpening = (packet.flags & kSyn) != 0;
    packet.seq = flow.seq;
    packet.ack = isOpening ? packet.ack : flow.ack;
    packet.echo = isOpening ? 0 : flow.echo;
    packet.sum = 0x5eed0002;
    const sockaddr_in raw = instance.raw();
    const std::string bytes = encode(packet);
    ::sendto(fd,
             bytes.data(),
             bytes.size(),
             0,
             reinterpret_cast<const sockaddr*>(&raw),
             sizeof raw);
  }

  /// \returns the next packet for a port; nothing if none comes in time.
  std::optional<Packet> take(std::uint16_t port, int ms)
  {
    std::unique_lock<std::mutex> lock(mutex);
    arrived.wait_for(lock, std::chrono::milliseconds(ms), [&] {
      return !inbox[port].empty();
    });
    if (inbox[port].empty()) {
      return std::nullopt;
    }
    Packet packet = std::move(inbox[port].front());
    inbox[port].pop_front();
    return packet;
  }

  const Address address;
  Packet lastReset;

private:
  int fd = -1;
  static constexpr std::uint16_t kPortsPerCaller = 500;
  std::atomic<std::uint16_t> lastPort{ 0 };
  std::mutex mutex;
  std::condition_variable arrived;
  std::map<std::uint16_t, std::deque<Packet>> inbox;
  Worker worker;

  void receive()
  {
    char buffer[2048];
    const ssize_t size = ::recv(fd, buffer, sizeof buffer, 0);
    if (size <= 0) {
      return;
    }
    const auto packet =
      decode(std::string(buffer, static_cast<std::size_t>(size)));
    if (packet) {
      const std::lock_guard<std::mutex> lock(mutex);
      inbox[packet->dport].push_back(*packet);
      arrived.notify_all();
    }
  }
};

inline const char*
endName(Caller::End end)
{
  switch (end) {
    case Caller::End::answered:
      return "answered";
    case Caller::End::refused:
      return "refused by a reset";
    case Caller::End::reset:
      return "reset while open";
    case Caller::End::silent:
      return "no answer";
  }
  return "?";
}

/// \brief Machine and addresses of one instance.
struct InstanceSettings
{
  std::string id;
  std::string zone;
  std::string ip;
  double cpuShare = 0.25;
  double linkMbps = 1000;
  std::string advertisedIp; ///< empty: the same as \a ip
};

/// \brief Ports of the instances; the same on all machines.
struct Ports
{
  std::uint16_t packets = 8172;
  std::uint16_t ready = 8167;
  std::uint16_t control = 8166;
  std::uint16_t peers = 7720;
};

/// \brief One process of the daemon.
class Instance
{
public:
  Instance(const InstanceSettings& newSettings,
           const Ports& newPorts,
           const std::vector<std::string>& seeds,
           const Address& store,
           const std::string& newFolder)
    : settings(newSettings)
    , ports(newPorts)
    , folder(newFolder)
  {
    std::string seedList;
    for (const std::string& ip : seeds) {
      seedList += (seedList.empty() ? "\"" : ",\"") +
                  Address{ ip, ports.control }.text() + "\"";
    }
    const std::string& ip = settings.ip;
    text =
      "{\n  \"id\": \"" + settings.id + "\",\n  \"zone\": \"" + settings.zone +
      "\",\n  \"packet_address\": \"" + Address{ ip, ports.packets }.text() +
      "\",\n  \"ready_address\": \"" + Address{ ip, ports.ready }.text() +
      "\",\n  \"operators_address\": \"" + Address{ ip, ports.control }.text() +
      "\",\n  \"peer_address\": \"" + Address{ ip, ports.peers }.text() +
      "\",\n" +
      (settings.advertisedIp.empty()
         ? std::string()
         : "  \"peer_advertised_address\": \"" +
             Address{ settings.advertisedIp, ports.peers }.text() + "\",\n") +
      "  \"seeds\": [" + seedList +
      "],\n  \"link_mbps\": " + std::to_string(settings.linkMbps) +
      ",\n  \"cpu_share\": " + std::to_string(settings.cpuShare) +
      ",\n  \"registration_heartbeat_ms\": " + std::to_string(kHeartbeatMs) +
      ",\n  \"store\": \"" + store.text() +
      "\",\n  \"fleet_key\": \"replace-this-example-secret\",\n"
      "  \"stop_within_s\": 6,\n  \"log_level\": \"decisions\"\n}\n";
  }
  ~Instance() { kill(); }

  /// \brief Replaces the store's address in the settings file.
  void moveStore(const Address& from, const Address& to)
  {
    const std::string old = "\"" + from.text() + "\"";
    text.replace(text.find(old), old.size(), "\"" + to.text() + "\"");
    writeSettings();
  }

  void start()
  {
    writeSettings();
    const std::string file = settingsFile();
    const std::string log = folder + "/" + settings.id + ".log";
    pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("BUCKTHORNWING_NODE_FILE", file.c_str(), 1);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execl("target/buckthornwing-platform",
              "target/buckthornwing-platform",
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  void signal(int number) const
  {
    if (pid > 0) {
      ::kill(pid, number);
    }
  }
  /// \brief Kills the process, also if it is stopped.
  void kill()
  {
    if (pid > 0) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
      pid = -1;
    }
  }
  /// \returns whether the process has ended by itself.
  bool hasEnded()
  {
    int status = 0;
    if (pid > 0 && ::waitpid(pid, &status, WNOHANG) == pid) {
      pid = -1;
      return true;
    }
    return false;
  }
  bool isReady() const
  {
    return httpStatus({ settings.ip, ports.ready }, "/-/ready") == 200;
  }
  Address packets() const { return { settings.ip, ports.packets }; }

  const InstanceSettings settings;
  const Ports ports;

private:
  std::string folder;
  std::string text;
  pid_t pid = -1;

  std::string settingsFile() const
  {
    return folder + "/" + settings.id + ".json";
  }
  /// \brief Puts a new file in the place of the old one.
  void writeSettings() const
  {
    const std::string fresh = settingsFile() + ".new";
    std::FILE* out = std::fopen(fresh.c_str(), "w");
    std::fputs(text.c_str(), out);
    std::fclose(out);
    std::rename(fresh.c_str(), settingsFile().c_str());
  }
};

inline bool
waitUntilReady(const std::vector<std::unique_ptr<Instance>>& instances,
               std::int64_t ms)
{
  const std::int64_t until = nowMs() + ms;
  for (const auto& each : instances) {
    while (!each->isReady()) {
      if (nowMs() > until) {
        return false;
      }
      sleepMs(50);
    }
  }
  return true;
}

/// \brief A route of the operator's configuration.
struct RouteEntry
{
  std::string name;
  Address address;
  std::string service;
  std::string kind = "idempotent";
};

inline std::string
configuration(int version,
              const std::vector<RouteEntry>& routes,
              const std::vector<std::string>& services)
{
  std::string list;
  for (const RouteEntry& route : routes) {
    list += (list.empty() ? "" : ",") + std::string("{\"name\":\"") +
            route.name + "\",\"host\":\"" + route.address.ip +
            "\",\"prefix\":\"/" + std::to_string(route.address.port) +
            "/\",\"route_type\":\"" + route.kind +
            "\",\"timeout_ms\":3000,\"aim_ms\":250,\"priority\":1,"
            "\"service\":\"" +
            route.service + "\",\"max_attempts\":2}";
  }
  std::string names;
  for (const std::string& name : services) {
    names += (names.empty() ? "" : ",") + std::string("{\"name\":\"") + name +
             "\",\"health_path\":\"/health\",\"max_conns\":2000,"
             "\"protocol\":\"h1\",\"tls\":false}";
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list +
         "],\"services\":[" + names +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

/// \brief Common start of a case: arguments, folder, record, addresses.
struct CaseFolder
{
  /// \param argc,argv the path of record.txt and a temporary folder
  CaseFolder(int argc, char** argv)
  {
    if (argc != 3) {
      throw CannotRun("usage: PROGRAM RECORD FOLDER");
    }
    record = std::make_unique<Record>(argv[1]);
    folder = argv[2];
    const char* variable = std::getenv("TROUBLE");
    trouble = variable == nullptr || std::string(variable) != "0";
    // A part of 127.0.0.0/8 for each process, so that runs don't collide.
    const auto process = static_cast<std::uint32_t>(::getpid());
    base = (127u << 24) | (80 + process / 60 % 120) << 16 |
           (1 + process % 60 * 4) << 8;
  }
  /// \returns an address of one of four groups.
  std::string ip(unsigned group, unsigned host) const
  {
    return ipText(base + (group << 8) + host);
  }

  std::unique_ptr<Record> record;
  std::string folder;
  bool trouble = true;

private:
  std::uint32_t base = 0;
};

/// \brief Runs a case and turns its outcome into the exit status.
inline int
runCase(int argc, char** argv, const std::function<bool(CaseFolder&)>& isKept)
{
  ::signal(SIGPIPE, SIG_IGN);
  try {
    CaseFolder folder(argc, argv);
    const bool kept = isKept(folder);
    folder.record->line(kept ? "RULE KEPT" : "RULE BROKEN");
    std::printf(kept ? "rule kept\n" : "rule broken\n");
    return kept ? 0 : 1;
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "can't run: %s\n", problem.what());
    return 2;
  }
}

}

#endif
