// Stand-ins for the platform of the users, written from their published pages:
// the metadata store, backend servers, callers and the routers in front of the
// instances. Everything runs on loopback addresses of one machine.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point startedAt = Clock::now();

/// Seconds since the start of the case.
inline double
seconds()
{
  return std::chrono::duration<double>(Clock::now() - startedAt).count();
}

inline void
sleepFor(double duration)
{
  if (duration > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(duration));
  }
}

inline void
sleepUntil(double at)
{
  sleepFor(at - seconds());
}

/// The record of a case: what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& path)
    : out(path)
  {
  }

  void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(this->mutex);
    char time[32];
    snprintf(time, sizeof time, "%9.3f  ", seconds());
    this->out << time << text << '\n';
    this->out.flush();
  }

private:
  std::ofstream out;
  std::mutex mutex;
};

struct Address
{
  std::uint32_t ip = 0; ///< in host byte order
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;

  sockaddr_in raw() const
  {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(this->ip);
    out.sin_port = htons(this->port);
    return out;
  }
};

inline std::string
ipText(std::uint32_t ip)
{
  const in_addr address{ htonl(ip) };
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &address, text, sizeof text);
  return text;
}

inline std::string
addressText(const Address& address)
{
  return ipText(address.ip) + ":" + std::to_string(address.port);
}

inline std::uint32_t
makeIp(unsigned a, unsigned b, unsigned c, unsigned d)
{
  return a << 24 | b << 16 | c << 8 | d;
}

/// Opens a socket bound to an address; ends the case with status 2 if it fails.
inline int
openSocket(int type, const Address& address)
{
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  }
  const sockaddr_in raw = address.raw();
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw)) {
    std::cerr << "can't bind " << addressText(address) << '\n';
    std::exit(2);
  }
  if (type == SOCK_STREAM) {
    listen(fd, 256);
  } else {
    const int bytes = 4 << 20;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
  return fd;
}

inline std::string
encodeBase64(const std::string& in)
{
  static const char digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      word = word << 8 |
             (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k <= in.size() ? digits[word >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

/// The platform's metadata store. Each instance reaches it at an address of its
/// own, so that the case sees which instance reads.
class Store
{
public:
  static constexpr double kHistorySeconds = 20;

  /// Serves one instance at an address.
  void listenAt(const Address& address, std::size_t reader)
  {
    const int fd = openSocket(SOCK_STREAM, address);
    std::thread([this, fd, reader] {
      while (true) {
        const int client = accept(fd, nullptr, nullptr);
        if (client >= 0) {
          std::thread([this, client, reader] {
            this->serve(client, reader);
          }).detach();
        }
      }
    }).detach();
  }

  /// Writes a key. The return is the store's acknowledgement.
  std::uint64_t put(const std::string& key, const std::string& value)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    Item& item = this->items[key];
    ++this->revision;
    item.created = item.revision == 0 ? this->revision : item.created;
    item.revision = this->revision;
    item.value = encodeBase64(value);
    this->events.push_back(
      { key, item.value, item.revision, item.created, false, seconds() });
    this->trim();
    this->changed.notify_all();
    return this->revision;
  }

  void remove(const std::string& key)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->items.erase(key) == 0) {
      return;
    }
    this->events.push_back({ key, {}, ++this->revision, 0, true, seconds() });
    this->trim();
    this->changed.notify_all();
  }

  /// Cuts the watches of a prefix that are waiting now.
  void cutWatches(const std::string& prefix)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->cuts[prefix];
    this->changed.notify_all();
  }

  /// Calls of an instance since the start, and the time of its last one.
  std::pair<std::size_t, double> callsOf(std::size_t reader)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return { this->calls[reader], this->lastCall[reader] };
  }

  std::function<void(std::size_t reader, const std::string& line)> onAnswer;

private:
  struct Item
  {
    std::string value; ///< Base64
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event
  {
    std::string key;
    std::string value;
    std::uint64_t revision;
    std::uint64_t created;
    bool isGone;
    double at;
  };

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::deque<Event> events;
  std::uint64_t revision = 1;
  std::uint64_t forgotten = 0; ///< revision of the newest dropped event
  std::map<std::string, std::size_t> cuts; ///< of each prefix
  std::map<std::size_t, std::size_t> calls;
  std::map<std::size_t, double> lastCall;

  void trim()
  {
    while (!this->events.empty() &&
           this->events.front().at < seconds() - kHistorySeconds) {
      this->forgotten = this->events.front().revision;
      this->events.pop_front();
    }
  }

  static std::string parameter(const std::string& target,
                               const std::string& name)
  {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t begin = at + 1;
      at = target.find('&', begin);
      const std::string field =
        target.substr(begin, at == std::string::npos ? at : at - begin);
      if (field.starts_with(name + "=")) {
        return decodePercent(field.substr(name.size() + 1));
      }
    }
    return {};
  }

  static std::string decodePercent(const std::string& text)
  {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }

  static std::string itemJson(const std::string& key,
                              const std::string& value,
                              std::uint64_t revision,
                              std::uint64_t created)
  {
    return "{\"key\":\"" + key + "\",\"value\":\"" + value +
           "\",\"revision\":" + std::to_string(revision) +
           ",\"created_rev\":" + std::to_string(created) + ",\"lease\":0}";
  }

  std::string range(const std::string& target)
  {
    constexpr std::size_t kPageItems = 500;
    constexpr std::size_t kPageBytes = 1 << 20;
    const std::string prefix = parameter(target, "prefix");
    const std::string after = parameter(target, "after");
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::string list;
    std::size_t count = 0;
    bool hasMore = false;
    for (const auto& [key, item] : this->items) {
      if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
        continue;
      }
      if (count == kPageItems || (count > 0 && list.size() > kPageBytes)) {
        hasMore = true;
        break;
      }
      list += (count++ == 0 ? "" : ",") +
              itemJson(key, item.value, item.revision, item.created);
    }
    return "{\"items\":[" + list +
           "],\"has_more\":" + (hasMore ? "true" : "false") +
           ",\"as_of\":" + std::to_string(this->revision) + "}";
  }

  /// Returns the status and the body of a watch; status 0 if it is cut.
  std::pair<int, std::string> watch(const std::string& target)
  {
    const std::string prefix = parameter(target, "prefix");
    const std::uint64_t after =
      std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
    const auto wait = std::chrono::milliseconds(
      std::atoi(parameter(target, "wait_ms").c_str()));
    const auto deadline = Clock::now() + wait;
    std::unique_lock<std::mutex> lock(this->mutex);
    const std::size_t cutsBefore = this->cuts[prefix];
    while (true) {
      if (this->cuts[prefix] != cutsBefore) {
        return { 0, {} };
      }
      this->trim();
      if (after < this->forgotten || after > this->revision) {
        return { 410, "{}" };
      }
      std::string list;
      for (const Event& event : this->events) {
        if (event.revision <= after || !event.key.starts_with(prefix)) {
          continue;
        }
        list += list.empty() ? "" : ",";
        list +=
          event.isGone
            ? "{\"key\":\"" + event.key +
                "\",\"revision\":" + std::to_string(event.revision) +
                ",\"is_gone\":true}"
            : itemJson(event.key, event.value, event.revision, event.created);
      }
      if (!list.empty() || Clock::now() >= deadline) {
        return { 200,
                 "{\"events\":[" + list +
                   "],\"as_of\":" + std::to_string(this->revision) + "}" };
      }
      this->changed.wait_until(lock, deadline);
    }
  }

  void serve(int client, std::size_t reader)
  {
    std::string request;
    char bytes[4096];
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t size = recv(client, bytes, sizeof bytes, 0);
      if (size <= 0) {
        close(client);
        return;
      }
      request.append(bytes, static_cast<std::size_t>(size));
    }
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      ++this->calls[reader];
      this->lastCall[reader] = seconds();
    }
    std::istringstream first(request);
    std::string method;
    std::string target;
    first >> method >> target;
    int status = 404;
    std::string body = "{}";
    if (target.starts_with("/-/kv-range")) {
      status = 200;
      body = this->range(target);
    } else if (target.starts_with("/-/kv-watch")) {
      std::tie(status, body) = this->watch(target);
    }
    if (status == 0) {
      close(client);
      return;
    }
    const std::string answer =
      "HTTP/1.1 " + std::to_string(status) +
      " X\r\nContent-Type: application/json\r\nStore-Era: "
      "1\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    std::size_t sent = 0;
    while (sent < answer.size()) {
      const ssize_t size =
        send(client, answer.data() + sent, answer.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        break;
      }
      sent += static_cast<std::size_t>(size);
    }
    if (this->onAnswer && body.size() > 1000) {
      this->onAnswer(reader,
                     target + " -> " + std::to_string(status) + ", " +
                       std::to_string(body.size()) + " bytes, " +
                       std::to_string(sent) + " sent with the head");
    }
    shutdown(client, SHUT_WR);
    timeval limit{ 2, 0 };
    setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    while (recv(client, bytes, sizeof bytes, 0) > 0) {
    }
    close(client);
  }
};

// Packets, by the example of the pages.
constexpr std::uint8_t kSyn = 128;
constexpr std::uint8_t kAck = 4;
constexpr std::uint8_t kFin = 8;
constexpr std::uint8_t kRst = 64;
constexpr std::size_t kHeadBytes = 32;

struct Packet
{
  Address from;
  Address to;
  std::uint32_t echo = 0;
  std::uint8_t flags = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::string data;
  /// 0 in a reset of the system. The key of the sum is not disclosed, so the
  /// two ends use a constant.
  std::uint32_t sum = 0xa1b2c3d5;

  std::string encode() const
  {
    std::string out(kHeadBytes, '\0');
    const auto put16 = [&](std::size_t at, std::uint32_t value) {
      out[at] = static_cast<char>(value >> 8);
      out[at + 1] = static_cast<char>(value);
    };
    const auto put32 = [&](std::size_t at, std::uint32_t value) {
      put16(at, value >> 16);
      put16(at + 2, value & 0xffff);
    };
    put16(0, this->to.port);
    put16(2, this->from.port);
    put32(4, this->from.ip);
    put32(8, this->to.ip);
    put32(12, this->echo);
    put16(16, static_cast<std::uint32_t>(this->data.size()));
    out[18] = static_cast<char>(this->flags);
    put32(20, this->seq);
    put32(24, this->ack);
    put32(28, this->sum);
    return out + this->data;
  }

  static std::optional<Packet> decode(const std::string& in)
  {
    if (in.size() < kHeadBytes) {
      return std::nullopt;
    }
    const auto get16 = [&](std::size_t at) {
      return static_cast<std::uint32_t>(static_cast<std::uint8_t>(in[at]))
               << 8 |
             static_cast<std::uint8_t>(in[at + 1]);
    };
    const auto get32 = [&](std::size_t at) {
      return get16(at) << 16 | get16(at + 2);
    };
    Packet packet;
    packet.to = { get32(8), static_cast<std::uint16_t>(get16(0)) };
    packet.from = { get32(4), static_cast<std::uint16_t>(get16(2)) };
    packet.echo = get32(12);
    packet.flags = static_cast<std::uint8_t>(in[18]);
    packet.seq = get32(20);
    packet.ack = get32(24);
    packet.sum = get32(28);
    packet.data = in.substr(kHeadBytes);
    return packet;
  }
};

inline std::uint32_t
randomWord()
{
  static std::mutex mutex;
  static std::mt19937 generator{ std::random_device{}() };
  const std::lock_guard<std::mutex> lock(mutex);
  return static_cast<std::uint32_t>(generator());
}

/// A backend server.
struct Target
{
  std::string id;
  std::uint64_t number = 0;
  std::string service;
  std::string zone;
  Address address;
  std::string state = "ready";
  unsigned warmupLeftMs = 0;
  int udp = -1;
  int tcp = -1;

  struct Flow
  {
    std::uint32_t echo = 0;
    std::uint32_t sendNext = 0;
    std::uint32_t receiveNext = 0;
    std::string received;
    bool isOpen = false;
  };
  std::map<std::pair<Address, Address>, Flow> flows;

  std::string entry() const
  {
    return "{\"service\":\"" + this->service + "\",\"address\":\"" +
           addressText(this->address) + "\",\"zone\":\"" + this->zone +
           "\",\"version\":\"v1\",\"slots\":3,\"state\":\"" + this->state +
           "\",\"warmup_left_ms\":" + std::to_string(this->warmupLeftMs) +
           ",\"seq\":1}";
  }
};

/// All backend servers, served by one thread.
class Targets
{
public:
  Targets(Store& store, Record& record, std::uint16_t callerPort)
    : store(store)
    , record(record)
    , callerPort(callerPort)
  {
  }

  void add(const std::string& service,
           const std::string& zone,
           const Address& address)
  {
    auto target = std::make_unique<Target>();
    target->number = randomWord();
    char id[32];
    snprintf(id,
             sizeof id,
             "i-%08llx",
             static_cast<unsigned long long>(target->number));
    target->id = id;
    target->service = service;
    target->zone = zone;
    target->address = address;
    target->udp = openSocket(SOCK_DGRAM, address);
    target->tcp = openSocket(SOCK_STREAM, address);
    this->store.put("servers/" + target->id, target->entry());
    this->record.line("target %s (%s, %s) at %s",
                      id,
                      service.c_str(),
                      zone.c_str(),
                      addressText(address).c_str());
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->all.push_back(std::move(target));
  }

  void start()
  {
    std::thread([this] { this->loop(); }).detach();
  }

  /// Reports the first target of a service in a zone as draining. The return is
  /// the store's acknowledgement.
  std::string drain(const std::string& service, const std::string& zone)
  {
    std::string id;
    std::string entry;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      for (const auto& target : this->all) {
        if (target->service == service && target->zone == zone &&
            target->state == "ready") {
          target->state = "draining";
          id = target->id;
          entry = target->entry();
          break;
        }
      }
    }
    this->store.put("servers/" + id, entry);
    this->record.line("the store acknowledges that target %s drains",
                      id.c_str());
    return id;
  }

  /// Writes the warm-up time that is left of the first target of a service.
  void warmUp(const std::string& service, unsigned leftMs)
  {
    std::string key;
    std::string entry;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      for (const auto& target : this->all) {
        if (target->service == service) {
          target->warmupLeftMs = leftMs;
          key = "servers/" + target->id;
          entry = target->entry();
          break;
        }
      }
    }
    this->store.put(key, entry);
  }

  /// Whether a target holds a flow whose handshake has ended there.
  bool holdsOpen(const Address& from, const Address& to)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& target : this->all) {
      const auto flow = target->flows.find(std::pair(from, to));
      if (flow != target->flows.end() && flow->second.isOpen) {
        return true;
      }
    }
    return false;
  }

private:
  Store& store;
  Record& record;
  std::uint16_t callerPort;
  std::mutex mutex;
  std::vector<std::unique_ptr<Target>> all;

  void loop()
  {
    while (true) {
      std::vector<pollfd> fds;
      std::vector<Target*> owners;
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const auto& target : this->all) {
          fds.push_back({ target->udp, POLLIN, 0 });
          fds.push_back({ target->tcp, POLLIN, 0 });
          owners.push_back(target.get());
        }
      }
      poll(fds.data(), fds.size(), 50);
      for (std::size_t i = 0; i < owners.size(); ++i) {
        if ((fds[2 * i].revents & POLLIN) != 0) {
          this->receive(*owners[i]);
        }
        if ((fds[2 * i + 1].revents & POLLIN) != 0) {
          this->answerHealth(*owners[i]);
        }
      }
    }
  }

  void answerHealth(Target& target)
  {
    const int client = accept(target.tcp, nullptr, nullptr);
    if (client < 0) {
      return;
    }
    const std::string id = target.id;
    const bool isReady = target.state == "ready";
    std::thread([client, id, isReady] {
      char bytes[2048];
      if (recv(client, bytes, sizeof bytes, 0) > 0) {
        const std::string answer =
          std::string("HTTP/1.1 ") + (isReady ? "200" : "503") +
          " X\r\nTarget-Id: " + id +
          "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        send(client, answer.data(), answer.size(), MSG_NOSIGNAL);
        shutdown(client, SHUT_WR);
        recv(client, bytes, sizeof bytes, 0);
      }
      close(client);
    }).detach();
  }

  void reply(const Target& target,
             const Packet& to,
             std::uint8_t flags,
             std::uint32_t seq,
             std::uint32_t ack,
             std::uint32_t echo,
             const std::string& data = {})
  {
    Packet packet{ to.to, to.from, echo, flags, seq, ack, data };
    const std::string bytes = packet.encode();
    const sockaddr_in raw = Address{ to.from.ip, this->callerPort }.raw();
    sendto(target.udp,
           bytes.data(),
           bytes.size(),
           0,
           reinterpret_cast<const sockaddr*>(&raw),
           sizeof raw);
  }

  void receive(Target& target)
  {
    char bytes[4096];
    const ssize_t size = recv(target.udp, bytes, sizeof bytes, MSG_DONTWAIT);
    if (size < static_cast<ssize_t>(8 + kHeadBytes)) {
      return;
    }
    std::uint64_t number = 0;
    for (int i = 0; i < 8; ++i) {
      number = number << 8 | static_cast<std::uint8_t>(bytes[i]);
    }
    if (number != 0 && number != target.number) {
      return;
    }
    const auto packet = Packet::decode(
      std::string(bytes + 8, static_cast<std::size_t>(size) - 8));
    if (packet) {
      this->handle(target, *packet);
    }
  }

  void handle(Target& target, const Packet& packet)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto key = std::pair(packet.from, packet.to);
    const auto found = target.flows.find(key);
    if ((packet.flags & kSyn) != 0) {
      Target::Flow& flow = target.flows[key];
      if (found == target.flows.end()) {
        flow.sendNext = randomWord();
        flow.receiveNext = packet.seq + 1;
      }
      flow.echo = packet.echo;
      this->reply(target,
                  packet,
                  kSyn | kAck,
                  flow.sendNext,
                  flow.receiveNext,
                  flow.echo);
      return;
    }
    if (found == target.flows.end()) {
      if ((packet.flags & (kRst | kFin)) == 0) {
        this->reply(target, packet, kRst, packet.ack, 0, packet.echo);
      }
      return;
    }
    Target::Flow& flow = found->second;
    flow.echo = packet.echo;
    if ((packet.flags & kRst) != 0) {
      target.flows.erase(found);
      return;
    }
    if (!flow.isOpen && packet.ack == flow.sendNext + 1) {
      flow.isOpen = true;
      ++flow.sendNext;
    }
    if (!packet.data.empty()) {
      this->handleData(target, flow, packet);
    }
    if ((packet.flags & kFin) != 0) {
      this->reply(
        target, packet, kFin | kAck, flow.sendNext, packet.seq + 1, flow.echo);
      target.flows.erase(key);
    }
  }

  void handleData(Target& target, Target::Flow& flow, const Packet& packet)
  {
    if (packet.seq == flow.receiveNext) {
      flow.receiveNext += static_cast<std::uint32_t>(packet.data.size());
      flow.received += packet.data;
    }
    this->reply(
      target, packet, kAck, flow.sendNext, flow.receiveNext, flow.echo);
    if (flow.received.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    const std::string mark = "Request-Id: ";
    const std::size_t at = flow.received.find(mark);
    const std::string id =
      at == std::string::npos
        ? "?"
        : flow.received.substr(at + mark.size(),
                               flow.received.find('\r', at) - at - mark.size());
    flow.received.clear();
    this->record.line("target %s of %s runs request %s",
                      target.id.c_str(),
                      target.service.c_str(),
                      id.c_str());
    const std::string body = target.service + " " + target.id;
    const std::string answer =
      "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
    this->reply(
      target, packet, kAck, flow.sendNext, flow.receiveNext, flow.echo, answer);
    flow.sendNext += static_cast<std::uint32_t>(answer.size());
  }
};

/// A process of the system.
struct Instance
{
  std::size_t index = 0;
  std::string id;
  std::string zone;
  std::uint32_t ip = 0;
  Address packets;
  Address ready;
  Address operators;
  Address peers;
  Address relay; ///< through which the others reach it; port 0: directly
  Address store;
  pid_t pid = -1;
};

/// The links between the instances, with the delays of the site's sheet. Every
/// datagram of one instance to another passes through a relay.
class Links
{
public:
  Links(double inZone, double crossZone)
    : inZone(inZone)
    , crossZone(crossZone)
  {
  }

  void add(const Address& relay, const Instance& instance)
  {
    this->ends.push_back(
      { openSocket(SOCK_DGRAM, relay), instance.peers.raw(), instance.zone });
    this->zoneOf[instance.ip] = instance.zone;
  }

  void start()
  {
    std::thread([this] { this->loop(); }).detach();
  }

  /// Number of datagrams that an instance has sent after a time.
  std::size_t countSentAfter(const Instance& instance, double after)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::size_t count = 0;
    for (const double at : this->sentAt[instance.ip]) {
      count += at > after ? 1 : 0;
    }
    return count;
  }

private:
  struct End
  {
    int fd;
    sockaddr_in to;
    std::string zone;
  };
  struct Delayed
  {
    std::size_t end;
    std::string bytes;
  };

  double inZone;
  double crossZone;
  std::vector<End> ends;
  std::map<std::uint32_t, std::string> zoneOf;
  std::multimap<double, Delayed> queue;
  std::mutex mutex;                                   ///< of what follows
  std::map<std::uint32_t, std::deque<double>> sentAt; ///< newest datagrams

  void loop()
  {
    std::vector<pollfd> fds;
    for (const End& end : this->ends) {
      fds.push_back({ end.fd, POLLIN, 0 });
    }
    while (true) {
      const double wait =
        this->queue.empty() ? 0.05 : this->queue.begin()->first - seconds();
      const long nanoseconds = std::max(0L, static_cast<long>(wait * 1e9));
      const timespec limit{ nanoseconds / 1000000000,
                            nanoseconds % 1000000000 };
      ppoll(fds.data(), fds.size(), &limit, nullptr);
      for (std::size_t i = 0; i < fds.size(); ++i) {
        if ((fds[i].revents & POLLIN) != 0) {
          this->receive(i);
        }
      }
      while (!this->queue.empty() && this->queue.begin()->first <= seconds()) {
        const Delayed& next = this->queue.begin()->second;
        const End& end = this->ends[next.end];
        sendto(end.fd,
               next.bytes.data(),
               next.bytes.size(),
               0,
               reinterpret_cast<const sockaddr*>(&end.to),
               sizeof end.to);
        this->queue.erase(this->queue.begin());
      }
    }
  }

  void receive(std::size_t index)
  {
    char bytes[16384];
    sockaddr_in from{};
    socklen_t length = sizeof from;
    ssize_t size = 0;
    while ((size = recvfrom(this->ends[index].fd,
                            bytes,
                            sizeof bytes,
                            MSG_DONTWAIT,
                            reinterpret_cast<sockaddr*>(&from),
                            &length)) > 0) {
      const bool isNear =
        this->zoneOf[ntohl(from.sin_addr.s_addr)] == this->ends[index].zone;
      {
        constexpr std::size_t kKept = 500;
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::deque<double>& times = this->sentAt[ntohl(from.sin_addr.s_addr)];
        times.push_back(seconds());
        if (times.size() > kKept) {
          times.pop_front();
        }
      }
      this->queue.emplace(
        seconds() + (isNear ? this->inZone : this->crossZone),
        Delayed{ index, std::string(bytes, static_cast<std::size_t>(size)) });
    }
  }
};

/// What a caller saw of a request.
struct Outcome
{
  enum class Kind
  {
    answered,
    reset,  ///< an RST, before the flow opened or after
    silent, ///< no answer
  };
  Kind kind = Kind::silent;
  double sentAt = 0; ///< of the last copy of the opening
  Address from;
  bool opened = false;
  bool resetBySystem = false; ///< the reset's sum is 0
  std::string openedThrough;  ///< instance that got the last opening
  std::string lastThrough;    ///< instance that got the last request packet
  std::string body;
};

inline const char*
kindName(Outcome::Kind kind)
{
  return kind == Outcome::Kind::answered
           ? "answered"
           : (kind == Outcome::Kind::reset ? "reset" : "no answer");
}

/// The callers of one address.
class Callers
{
public:
  Callers(const Address& address, Record& record)
    : address(address)
    , record(record)
    , fd(openSocket(SOCK_DGRAM, address))
  {
    std::thread([this] { this->receive(); }).detach();
  }

  /// Selects the instance that gets a packet of a flow now.
  using Router =
    std::function<const Instance&(const Address& from, const Address& route)>;

  Outcome request(const Instance& through,
                  const Address& route,
                  const std::string& id)
  {
    return this->request(
      [&through](const Address&, const Address&) -> const Instance& {
        return through;
      },
      route,
      id,
      0);
  }

  /// Opens a flow, sends one request and closes the flow.
  /// \param pause time between the handshake and the request
  Outcome request(const Router& router,
                  const Address& route,
                  const std::string& id,
                  double pause)
  {
    const Address from{ this->address.ip, this->nextPort() };
    Mailbox& box = this->boxOf(from.port);
    Outcome outcome;
    outcome.from = from;
    const std::uint32_t initial = randomWord();
    std::optional<Packet> accepted;
    const double begin = seconds();
    const double copies[] = { 0, 0.2, 0.6 };
    for (std::uint32_t copy = 0; copy < 3 && !accepted; ++copy) {
      sleepUntil(begin + copies[copy]);
      outcome.sentAt = seconds();
      outcome.openedThrough =
        this->send(router, { from, route, 0, kSyn, initial, copy, {} });
      const double until = copy == 2 ? begin + 1.4 : begin + copies[copy + 1];
      while (const auto packet = box.take(until)) {
        if ((packet->flags & kRst) != 0) {
          outcome.resetBySystem = packet->sum == 0;
          return this->done(route, id, outcome, Outcome::Kind::reset);
        }
        if ((packet->flags & (kSyn | kAck)) == (kSyn | kAck)) {
          accepted = packet;
          break;
        }
      }
    }
    if (!accepted) {
      return this->done(route, id, outcome, Outcome::Kind::silent);
    }
    outcome.opened = true;
    const std::uint32_t echo = accepted->echo;
    const std::uint32_t ack = accepted->seq + 1;
    const std::uint32_t seq = initial + 1;
    this->send(router, { from, route, echo, kAck, seq, ack, {} });
    sleepFor(pause);
    const std::string text =
      "GET /x HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\n\r\n";
    for (const double wait : { 0.2, 0.4, 0.8, 1.6 }) {
      outcome.lastThrough =
        this->send(router, { from, route, echo, kAck, seq, ack, text });
      const double until = seconds() + wait;
      while (const auto packet = box.take(until)) {
        if ((packet->flags & kRst) != 0) {
          outcome.resetBySystem = packet->sum == 0;
          return this->done(route, id, outcome, Outcome::Kind::reset);
        }
        if (!packet->data.empty()) {
          outcome.body = packet->data.substr(packet->data.find("\r\n\r\n") + 4);
          const auto sent = static_cast<std::uint32_t>(text.size());
          const auto received = static_cast<std::uint32_t>(packet->data.size());
          this->send(router,
                     { from,
                       route,
                       packet->echo,
                       kAck | kFin,
                       seq + sent,
                       packet->seq + received,
                       {} });
          return this->done(route, id, outcome, Outcome::Kind::answered);
        }
      }
    }
    return this->done(route, id, outcome, Outcome::Kind::silent);
  }

private:
  struct Mailbox
  {
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<Packet> packets;

    std::optional<Packet> take(double until)
    {
      std::unique_lock<std::mutex> lock(this->mutex);
      while (this->packets.empty()) {
        const double left = until - seconds();
        if (left <= 0) {
          return std::nullopt;
        }
        this->arrived.wait_for(lock, std::chrono::duration<double>(left));
      }
      Packet packet = this->packets.front();
      this->packets.pop_front();
      return packet;
    }
  };

  Address address;
  Record& record;
  int fd;
  std::mutex mutex;
  std::uint16_t lastPort = 40000;
  std::map<std::uint16_t, std::unique_ptr<Mailbox>> boxes;

  std::uint16_t nextPort()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return ++this->lastPort;
  }

  Mailbox& boxOf(std::uint16_t port)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    auto& box = this->boxes[port];
    if (!box) {
      box = std::make_unique<Mailbox>();
    }
    return *box;
  }

  /// Returns the id of the instance that got the packet.
  std::string send(const Router& router, const Packet& packet)
  {
    const Instance& through = router(packet.from, packet.to);
    const std::string bytes = packet.encode();
    const sockaddr_in raw = through.packets.raw();
    sendto(this->fd,
           bytes.data(),
           bytes.size(),
           0,
           reinterpret_cast<const sockaddr*>(&raw),
           sizeof raw);
    return through.id;
  }

  void receive()
  {
    char bytes[4096];
    while (true) {
      const ssize_t size = recv(this->fd, bytes, sizeof bytes, 0);
      if (size <= 0) {
        continue;
      }
      auto packet =
        Packet::decode(std::string(bytes, static_cast<std::size_t>(size)));
      if (!packet) {
        continue;
      }
      Mailbox& box = this->boxOf(packet->to.port);
      const std::lock_guard<std::mutex> lock(box.mutex);
      box.packets.push_back(std::move(*packet));
      box.arrived.notify_all();
    }
  }

  Outcome done(const Address& route,
               const std::string& id,
               Outcome outcome,
               Outcome::Kind kind)
  {
    outcome.kind = kind;
    const std::string moved = outcome.lastThrough.empty() ||
                                  outcome.lastThrough == outcome.openedThrough
                                ? ""
                                : ", then " + outcome.lastThrough;
    this->record.line(
      "request %s to %s through %s%s, opening sent at %.3f: %s%s%s%s",
      id.c_str(),
      addressText(route).c_str(),
      outcome.openedThrough.c_str(),
      moved.c_str(),
      outcome.sentAt,
      outcome.opened ? "opened, " : "",
      kindName(kind),
      kind == Outcome::Kind::reset && outcome.resetBySystem ? " by the system"
                                                            : "",
      outcome.body.empty() ? "" : (" by " + outcome.body).c_str());
    return outcome;
  }
};

/// A small deployment: the processes of the system and all stand-ins.
class Deployment
{
public:
  Store store;
  Record record;
  std::vector<Instance> instances;
  std::unique_ptr<Targets> targets;
  std::unique_ptr<Callers> callers;
  std::unique_ptr<Links> links; ///< null: instances reach each other directly
  std::uint16_t base = 0;       ///< first of the ports of this run
  unsigned net = 0;        ///< second byte of this run's loopback addresses
  std::string grace = "6"; ///< the bound grace_s in the settings

  explicit Deployment(const std::string& recordPath)
    : record(recordPath)
  {
    signal(SIGPIPE, SIG_IGN);
    this->net = 16 + randomWord() % 200;
    this->base = static_cast<std::uint16_t>(20000 + randomWord() % 9000);
    char name[] = "/tmp/bw-review-XXXXXX";
    if (mkdtemp(name) == nullptr) {
      std::exit(2);
    }
    this->folder = name;
    this->targets =
      std::make_unique<Targets>(this->store, this->record, this->base);
    this->callers = std::make_unique<Callers>(
      Address{ makeIp(127, this->net, 9, 1), this->base }, this->record);
  }

  /// Ends the processes and this program, whose threads still run.
  [[noreturn]] void end(int status)
  {
    this->record.line("exit status %d", status);
    this->finish();
    std::_Exit(status);
  }

  void addInstance(const std::string& id, const std::string& zone)
  {
    Instance instance;
    instance.index = this->instances.size();
    instance.id = id;
    instance.zone = zone;
    const auto host = static_cast<unsigned>(instance.index + 1);
    instance.ip = makeIp(127, this->net, 1, host);
    instance.packets = { instance.ip, this->base };
    instance.ready = { instance.ip, port(1) };
    instance.operators = { instance.ip, port(2) };
    instance.peers = { instance.ip, port(3) };
    instance.store = { makeIp(127, this->net, 3, host), port(4) };
    this->instances.push_back(instance);
    this->store.listenAt(instance.store, instance.index);
  }

  /// Gives the links between all instances delays; called before the start.
  void delayLinks(double inZone, double crossZone)
  {
    this->links = std::make_unique<Links>(inZone, crossZone);
    for (Instance& instance : this->instances) {
      instance.relay = {
        makeIp(127, this->net, 5, static_cast<unsigned>(instance.index + 1)),
        instance.peers.port
      };
      this->links->add(instance.relay, instance);
    }
    this->links->start();
  }

  void addTarget(const std::string& service, const std::string& zone)
  {
    this->targets->add(
      service,
      zone,
      { makeIp(127, this->net, 2, ++this->targetCount), port(5) });
  }

  /// Writes the settings file of a process.
  void writeSettings(std::size_t index, bool isFirstStart)
  {
    const Instance& instance = this->instances[index];
    std::ofstream(this->settingsFile(instance))
      << this->renderSettings(instance, isFirstStart);
  }

  /// Starts a process by the deploy file's command.
  void start(std::size_t index, bool isFirstStart)
  {
    Instance& instance = this->instances[index];
    this->writeSettings(index, isFirstStart);
    const std::string file = this->settingsFile(instance);
    const std::string log = this->folder + "/" + instance.id + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with this program in any case.
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const std::string variable = "BUCKTHORNWING_NODE_FILE=" + file;
      const char* environment[] = { variable.c_str(),
                                    "PATH=/usr/bin:/bin",
                                    "HOME=/tmp",
                                    "LANG=C.UTF-8",
                                    nullptr };
      const char* arguments[] = { "target/buckthornwing-platform", nullptr };
      execve(arguments[0],
             const_cast<char**>(arguments),
             const_cast<char**>(environment));
      _exit(127);
    }
    instance.pid = pid;
    this->record.line("start %s (%s) as process %d",
                      instance.id.c_str(),
                      instance.zone.c_str(),
                      static_cast<int>(pid));
  }

  void startAll(bool isFirstStart)
  {
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
      this->start(i, isFirstStart);
    }
  }

  void signalTo(std::size_t index, int signal, const char* name)
  {
    this->record.line("%s to %s", name, this->instances[index].id.c_str());
    ::kill(this->instances[index].pid, signal);
  }

  /// Waits until a process has ended by itself.
  void awaitExit(std::size_t index)
  {
    waitpid(this->instances[index].pid, nullptr, 0);
    this->instances[index].pid = -1;
    this->record.line("%s has ended", this->instances[index].id.c_str());
  }

  /// Whether a process is not running.
  bool hasEnded(std::size_t index)
  {
    Instance& instance = this->instances[index];
    if (instance.pid > 0 && waitpid(instance.pid, nullptr, WNOHANG) != 0) {
      instance.pid = -1;
      this->record.line("%s has ended", instance.id.c_str());
    }
    return instance.pid < 0;
  }

  bool isReady(const Instance& instance)
  {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{ 0, 300000 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const sockaddr_in raw = instance.ready.raw();
    bool ready = false;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0) {
      const std::string text = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
      ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
      char bytes[256];
      const ssize_t size = recv(fd, bytes, sizeof bytes, 0);
      ready = size > 12 && std::string(bytes, 12) == "HTTP/1.1 200";
    }
    close(fd);
    return ready;
  }

  /// Waits until all processes are ready; ends the case with status 2 if not.
  void awaitReady(double limit)
  {
    const double until = seconds() + limit;
    for (const Instance& instance : this->instances) {
      while (!this->isReady(instance)) {
        if (seconds() > until) {
          this->record.line("%s is not ready", instance.id.c_str());
          this->end(2);
        }
        sleepFor(0.05);
      }
    }
    this->record.line("all processes are ready");
  }

  /// The process that has called the store most often within a time.
  std::size_t findReader(double duration)
  {
    std::vector<std::size_t> before;
    for (const Instance& instance : this->instances) {
      before.push_back(this->store.callsOf(instance.index).first);
    }
    sleepFor(duration);
    std::size_t reader = 0;
    std::size_t most = 0;
    for (const Instance& instance : this->instances) {
      const std::size_t calls =
        this->store.callsOf(instance.index).first - before[instance.index];
      this->record.line("%s called the store %zu times in %.1f s",
                        instance.id.c_str(),
                        calls,
                        duration);
      if (calls > most) {
        most = calls;
        reader = instance.index;
      }
    }
    return reader;
  }

  /// Ends all processes, by their ids, and removes the folder.
  void finish()
  {
    for (Instance& instance : this->instances) {
      if (instance.pid > 0) {
        ::kill(instance.pid, SIGKILL);
        waitpid(instance.pid, nullptr, 0);
        instance.pid = -1;
      }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(this->folder, ignored);
    } else {
      std::cerr << "logs in " << this->folder << '\n';
    }
  }

private:
  std::string folder;
  unsigned targetCount = 0;

  std::string settingsFile(const Instance& instance) const
  {
    return this->folder + "/" + instance.id + ".json";
  }

  std::uint16_t port(unsigned offset) const
  {
    return static_cast<std::uint16_t>(this->base + offset);
  }

  /// Fills in the deploy file's template as the platform does.
  std::string renderSettings(const Instance& instance, bool isFirstStart) const
  {
    std::string seeds;
    for (std::size_t i = 0; i < this->instances.size() && i < 3; ++i) {
      seeds += (i == 0 ? "\"" : ",\"") +
               addressText(this->links ? this->instances[i].relay
                                       : this->instances[i].operators) +
               "\"";
    }
    std::map<std::string, std::string> values{
      { "node", instance.id },
      { "zone", instance.zone },
      { "listen.datagram_addr", addressText(instance.packets) },
      { "listen.ready_addr", addressText(instance.ready) },
      { "listen.control", addressText(instance.operators) },
      { "ip", ipText(instance.ip) },
      { "port_range.0", std::to_string(instance.peers.port) },
      { "seeds|json", "[" + seeds + "]" },
      { "limits.link_mbps", "1000.0" },
      { "limits.cpu_share", "0.25" },
      { "heartbeat_ms", "1200" },
      { "platform.address", addressText(instance.store) },
      { "bounds.grace_s", this->grace },
    };
    if (isFirstStart) {
      values["bootstrap"] = "true";
    }
    std::ifstream file("platform/settings.template.json");
    std::stringstream text;
    text << file.rdbuf();
    std::string settings = render(text.str(), values);
    if (this->links) {
      settings.insert(settings.find('{') + 1,
                      "\n  \"peer_advertised_address\": \"" +
                        addressText(instance.relay) + "\",");
    }
    return settings;
  }

  static std::string render(const std::string& text,
                            const std::map<std::string, std::string>& values)
  {
    std::string out;
    std::size_t at = 0;
    while (true) {
      const std::size_t open = text.find("{{", at);
      if (open == std::string::npos) {
        return out + text.substr(at);
      }
      out += text.substr(at, open - at);
      const std::size_t close = text.find("}}", open);
      const std::string name = text.substr(open + 2, close - open - 2);
      at = close + 2;
      if (name.starts_with("#")) {
        const std::string end = "{{/" + name.substr(1) + "}}";
        const std::size_t stop = text.find(end, at);
        if (values.contains(name.substr(1))) {
          out += render(text.substr(at, stop - at), values);
        }
        at = stop + end.size();
      } else {
        const auto value = values.find(name);
        out += value == values.end() ? "" : value->second;
      }
    }
  }
};

/// The platform's routers: they ask each instance twice a second whether it is
/// ready, and take it out of rotation after two misses. A hash selects an
/// instance for each flow; if one leaves, only its flows move ("steady").
class Routers
{
public:
  static constexpr double kProbePeriod = 0.5;

  explicit Routers(Deployment& deployment)
    : deployment(deployment)
    , misses(deployment.instances.size())
    , probedAt(deployment.instances.size())
  {
    for (std::size_t i = 0; i < this->misses.size(); ++i) {
      std::thread([this, i] { this->probe(i); }).detach();
    }
  }

  const Instance& select(const Address& from, const Address& route)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const Instance* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const Instance& instance : this->deployment.instances) {
      const std::uint64_t score =
        mix(from.ip ^ mix(from.port ^ mix(route.ip ^ mix(instance.ip))));
      const bool isIn = this->misses[instance.index] < 2;
      if (isIn && (best == nullptr || score > bestScore)) {
        best = &instance;
        bestScore = score;
      }
    }
    return best == nullptr ? this->deployment.instances.front() : *best;
  }

  /// Time of the last probe of an instance.
  double lastProbe(std::size_t index)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->probedAt[index];
  }

private:
  Deployment& deployment;
  std::mutex mutex;
  std::vector<unsigned> misses;
  std::vector<double> probedAt;

  static std::uint64_t mix(std::uint64_t word)
  {
    word = (word ^ word >> 30) * 0xbf58476d1ce4e5b9;
    word = (word ^ word >> 27) * 0x94d049bb133111eb;
    return word ^ word >> 31;
  }

  void probe(std::size_t index)
  {
    double next = seconds() + kProbePeriod * static_cast<double>(index) /
                                static_cast<double>(this->misses.size());
    while (true) {
      sleepUntil(next);
      const bool isReady =
        this->deployment.isReady(this->deployment.instances[index]);
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const unsigned before = this->misses[index];
        this->misses[index] = isReady ? 0 : std::min(before + 1, 2U);
        this->probedAt[index] = seconds();
        if ((before < 2) != (this->misses[index] < 2)) {
          this->deployment.record.line(
            "%s is %s rotation",
            this->deployment.instances[index].id.c_str(),
            this->misses[index] < 2 ? "in" : "out of");
        }
      }
      next += kProbePeriod;
    }
  }
};

/// A route of a configuration.
struct Route
{
  std::string name;
  Address to;
  std::string service;
};

/// The operator's configuration as JSON.
inline std::string
configuration(std::uint64_t version,
              const std::vector<Route>& routes,
              const std::vector<std::string>& services)
{
  std::string text =
    "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const Route& route = routes[i];
    text += (i == 0 ? "" : ",") + std::string("{\"name\":\"") + route.name +
            "\",\"host\":\"" + ipText(route.to.ip) + "\",\"prefix\":\"/" +
            std::to_string(route.to.port) +
            "/\",\"route_type\":\"idempotent\",\"timeout_ms\":3000,"
            "\"aim_ms\":250,\"priority\":2,\"service\":\"" +
            route.service + "\",\"max_attempts\":2}";
  }
  text += "],\"services\":[";
  for (std::size_t i = 0; i < services.size(); ++i) {
    text += (i == 0 ? "" : ",") + std::string("{\"name\":\"") + services[i] +
            "\",\"health_path\":\"/health\",\"max_conns\":2000,"
            "\"protocol\":\"h1\",\"tls\":false}";
  }
  return text +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

/// Whether the case is to bring its disruption about.
inline bool
withTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}
