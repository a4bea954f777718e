#include "FabricInstances.h"

#include <algorithm>
#include <sstream>

namespace buckthornwing::standin {
namespace {

constexpr MilliDuration kHealthCheckTimeout{ 500 };
constexpr std::size_t kMaxResponseBytes = 4096;
constexpr unsigned kOk = 200;

bool
isHealthy(const FabricInstance& instance)
{
  return instance.healthy;
}

}

FabricInstances::FabricInstances(boost::asio::io_context& context,
                                 std::string file)
  : context(context)
  , file(std::move(file))
{
}

void
FabricInstances::reload()
{
  const auto read = readFile(this->file);
  if (!read || read.value() == this->content) {
    return;
  }
  this->content = read.value();
  std::istringstream lines(this->content);
  std::vector<FabricInstance> next;
  std::string id;
  std::string data;
  std::string operators;
  while (lines >> id >> data >> operators) {
    const auto dataEndpoint = parseEndpoint(data);
    const auto operatorsEndpoint = parseEndpoint(operators);
    if (dataEndpoint && operatorsEndpoint) {
      next.push_back({ id, *dataEndpoint, *operatorsEndpoint });
    }
  }
  this->instances = std::move(next);
}

void
FabricInstances::checkHealth()
{
  for (FabricInstance& instance : this->instances) {
    if (instance.checkPending) {
      continue;
    }
    instance.checkPending = true;
    const std::string id = instance.id;
    httpGet(this->context,
            instance.operators,
            "/healthz",
            kHealthCheckTimeout,
            kMaxResponseBytes,
            [this, id](const HttpResult& result) {
              this->setHealth(id, result.status == kOk);
            });
  }
}

void
FabricInstances::setHealth(const std::string& id, bool healthy)
{
  for (FabricInstance& instance : this->instances) {
    if (instance.id == id) {
      instance.checkPending = false;
      instance.healthy = healthy;
    }
  }
}

std::size_t
FabricInstances::healthyCount() const
{
  return static_cast<std::size_t>(
    std::count_if(this->instances.begin(), this->instances.end(), isHealthy));
}

const FabricInstance*
FabricInstances::pick(Random& random) const
{
  const std::size_t count = this->healthyCount();
  if (count == 0) {
    return nullptr;
  }
  std::uint64_t skip = random.below(count);
  for (const FabricInstance& instance : this->instances) {
    if (instance.healthy && skip-- == 0) {
      return &instance;
    }
  }
  return nullptr;
}

}
