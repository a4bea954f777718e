#include "Fabric.h"

#include <src/Io/HttpClient.h>

#include <standin/FabricPacket.h>

namespace buckthornwing::emulator {
namespace internal {

constexpr MilliDuration kCheckPeriod{ 500 };
constexpr int kMissesToLeave = 2;
constexpr unsigned kOk = 200;
constexpr std::size_t kMostBody = 1024;

}

Fabric::Fabric(boost::asio::io_context& context,
               const Addresses& addresses,
               Entries& entries,
               std::uint64_t seed)
  : context(context)
  , timers{ context }
  , addresses(addresses)
  , entries(entries)
  , random{ seed }
  , socket(context)
  , links(entries.size())
{
}

boost::leaf::result<void>
Fabric::start()
{
  BOOST_LEAF_CHECK(
    this->socket.open(this->addresses.routers(),
                      [](std::span<const std::uint8_t>, const Endpoint&) {}));
  this->check();
  this->timers.every(internal::kCheckPeriod, [this] { this->check(); });
  return {};
}

void
Fabric::check()
{
  for (std::size_t i = 0; i < this->links.size(); ++i) {
    httpGet(this->context,
            this->addresses.ready(i),
            "/-/ready",
            internal::kCheckPeriod,
            internal::kMostBody,
            [this, i](const HttpResult& result) {
              int& misses = this->links[i].misses;
              misses = result.status == internal::kOk ? 0 : misses + 1;
            });
  }
}

std::vector<std::size_t>
Fabric::inRotation(const std::string& zone)
{
  std::vector<std::size_t> all;
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < this->links.size(); ++i) {
    if (this->entries.at(i).zone != zone) {
      continue;
    }
    all.push_back(i);
    if (this->links[i].misses < internal::kMissesToLeave) {
      ready.push_back(i);
    }
  }
  return ready.size() * 2 < all.size() ? all : ready;
}

double
Fabric::chance()
{
  constexpr std::uint64_t kSteps = 1 << 20;
  return static_cast<double>(this->random.next() % kSteps) / kSteps;
}

void
Fabric::send(const std::string& zone, const CallerPacket& packet)
{
  std::optional<std::size_t> chosen;
  std::uint64_t best = 0;
  for (const std::size_t instance : this->inRotation(zone)) {
    const auto weight = mixWords(flowIdOf(packet.flow, 1).bits, instance + 1);
    if (!chosen || weight > best) {
      chosen = instance;
      best = weight;
    }
  }
  if (!chosen) {
    return;
  }
  const LinkFault& fault = this->links[*chosen].fault;
  if (this->chance() < fault.lossShare) {
    return;
  }
  const auto bytes = standin::encodeCallerPacket(packet);
  const Endpoint to = this->addresses.packets(*chosen);
  const int copies = this->chance() < fault.copyShare ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (fault.mostDelay.ms == 0) {
      this->socket.send(bytes, to);
      continue;
    }
    const auto delay = static_cast<std::int64_t>(
      this->chance() * static_cast<double>(fault.mostDelay.ms));
    this->timers.after(MilliDuration{ delay },
                       [this, bytes, to] { this->socket.send(bytes, to); });
  }
}

}
