#include "Fabric.h"

#include <src/Io/HttpClient.h>

#include <standin/FabricPacket.h>

namespace buckthornwing::emulator {
namespace internal {

constexpr MilliDuration kCheckPeriod{ 500 };
constexpr int kFailedChecksToRemove = 2;
constexpr unsigned kHttpOk = 200;
constexpr std::size_t kMaxBodyBytes = 1024;

}

Fabric::Fabric(boost::asio::io_context& context,
               const Addresses& addresses,
               Instances& instances,
               std::uint64_t seed)
  : context(context)
  , timers{ context }
  , addresses(addresses)
  , instances(instances)
  , random{ seed }
  , socket(context)
  , links(instances.size())
{
}

boost::leaf::result<void>
Fabric::start()
{
  BOOST_LEAF_CHECK(
    this->socket.open(this->addresses.fabric(),
                      [](std::span<const std::uint8_t>, const Endpoint&) {}));
  this->checkReadiness();
  this->timers.every(internal::kCheckPeriod,
                     [this] { this->checkReadiness(); });
  return {};
}

void
Fabric::checkReadiness()
{
  for (std::size_t i = 0; i < this->links.size(); ++i) {
    httpGet(this->context,
            this->addresses.ready(i),
            "/-/ready",
            internal::kCheckPeriod,
            internal::kMaxBodyBytes,
            [this, i](const HttpResult& result) {
              int& failedChecks = this->links[i].failedChecks;
              failedChecks =
                result.status == internal::kHttpOk ? 0 : failedChecks + 1;
            });
  }
}

std::vector<std::size_t>
Fabric::eligibleInstances(const std::string& zone)
{
  std::vector<std::size_t> all;
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < this->links.size(); ++i) {
    if (this->instances.at(i).zone != zone) {
      continue;
    }
    all.push_back(i);
    if (this->links[i].failedChecks < internal::kFailedChecksToRemove) {
      ready.push_back(i);
    }
  }
  return ready.size() * 2 < all.size() ? all : ready;
}

double
Fabric::randomFraction()
{
  constexpr std::uint64_t kSteps = 1 << 20;
  return static_cast<double>(this->random.next() % kSteps) / kSteps;
}

void
Fabric::send(const std::string& zone, const CallerPacket& packet)
{
  std::optional<std::size_t> chosen;
  std::uint64_t best = 0;
  for (const std::size_t instance : this->eligibleInstances(zone)) {
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
  if (this->randomFraction() < fault.lossProbability) {
    return;
  }
  const auto bytes = standin::encodeCallerPacket(packet);
  const Endpoint to = this->addresses.packets(*chosen);
  const int copies =
    this->randomFraction() < fault.duplicationProbability ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (fault.maxDelay.ms == 0) {
      this->socket.send(bytes, to);
      continue;
    }
    const auto delay = static_cast<std::int64_t>(
      this->randomFraction() * static_cast<double>(fault.maxDelay.ms));
    this->timers.after(MilliDuration{ delay },
                       [this, bytes, to] { this->socket.send(bytes, to); });
  }
}

}
