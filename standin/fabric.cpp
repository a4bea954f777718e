/// \file
/// \brief Stand-in for the fabric and for callers: opens flows, sends each
/// packet to a random healthy instance, and checks that all answers of a flow
/// come from the same target and that the flow's service selects this target.

#include "FabricInstances.h"

#include <Config>
#include <Core>
#include <src/Io/DaemonSettings.h>
#include <src/Io/RunMain.h>
#include <src/Io/UdpSocket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <iomanip>
#include <iostream>
#include <map>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <set>
#include <sstream>
#include <tclap/CmdLine.h>
#include <unordered_map>

namespace buckthornwing {
namespace internal {

constexpr MilliDuration kStepPeriod{ 10 };
constexpr MilliDuration kHealthPeriod{ 100 };
constexpr MilliDuration kDocumentPeriod{ 100 };
constexpr MilliDuration kInitialRetransmissionDelay{ 300 };
constexpr MilliDuration kMaxRetransmissionDelay{ 2000 };
/// \brief A flow whose packet is not answered within this time is broken.
constexpr MilliDuration kResponseTimeout{ 10000 };

/// \brief Settings of a run.
struct FabricSettings
{
  std::string instancesFile;
  std::string documentFile;
  Endpoint listen;
  std::size_t flows = 0;
  std::int64_t seconds = 0;
  std::int64_t intervalMs = 0;
  std::uint64_t seed = 0;
};

/// \brief A service as callers use it.
struct CalledService
{
  std::string name;
  Endpoint address;
  std::set<std::string> everSelected; ///< since the start of the run
  std::set<std::string> serving;      ///< targets that get new flows now
  bool longLived = true;
};

/// \brief A caller's flow, which sends a packet at a time.
struct CallerFlow
{
  FlowKey key;
  std::size_t service = 0; ///< index in Fabric::services
  std::string target;      ///< whose answers the flow gets
  bool opened = false;
  bool closing = false;
  bool answered = true;
  MilliTime nextSendAt{};
  MilliTime firstSentAt{}; ///< of the packet that awaits an answer
  MilliTime closingTime{};
  MilliDuration retransmissionDelay{};
};

/// \brief Totals of a run.
struct Totals
{
  std::uint64_t flows = 0;
  std::uint64_t broken = 0;
  std::uint64_t misdelivered = 0; ///< answers of a target never selected
  std::uint64_t refused = 0;      ///< flows reset instead of opened
  std::uint64_t packets = 0;
  std::uint64_t answers = 0;
  std::uint64_t retransmitted = 0;
};

/// \brief The parts of an answer that callers evaluate.
struct Answer
{
  bool reset = false;
  bool finished = false;
  std::string target;
};

Answer
parseAnswer(std::span<const std::uint8_t> bytes)
{
  Answer answer;
  constexpr std::size_t kHeaders = sizeof(iphdr) + sizeof(tcphdr);
  if (bytes.size() < kHeaders) {
    return answer;
  }
  tcphdr header;
  std::memcpy(&header, bytes.data() + sizeof(iphdr), sizeof header);
  answer.reset = header.rst != 0;
  answer.finished = header.fin != 0;
  answer.target.assign(bytes.begin() + kHeaders, bytes.end());
  return answer;
}

/// \brief The fabric and all of its callers.
class Fabric
{
public:
  Fabric(boost::asio::io_context& context, FabricSettings settings)
    : context(context)
    , settings(std::move(settings))
    , instances(context, this->settings.instancesFile)
    , socket(context)
    , timer(context)
    , random{ this->settings.seed }
  {
  }

  boost::leaf::result<void> start()
  {
    BOOST_LEAF_CHECK(this->socket.open(this->settings.listen, "bind callers"));
    this->socket.start([this](auto bytes) { this->onAnswer(bytes); });
    this->startedAt = this->now();
    this->step();
    return {};
  }

  /// \brief Prints the results of the run.
  /// \returns the exit code: 1 if a flow broke or an answer was misdelivered
  int report() const
  {
    this->printTable();
    const Totals& t = this->totals;
    std::ostringstream imbalance;
    imbalance << std::fixed << std::setprecision(3) << this->imbalance();
    std::cout << "{\"flows\":" << t.flows << ",\"broken\":" << t.broken
              << ",\"misdelivered\":" << t.misdelivered
              << ",\"refused\":" << t.refused
              << ",\"imbalance\":" << imbalance.str()
              << ",\"packets\":" << t.packets << "}" << std::endl;
    return t.broken + t.misdelivered > 0 ? 1 : 0;
  }

private:
  boost::asio::io_context& context;
  FabricSettings settings;
  standin::FabricInstances instances;
  UdpSocket socket;
  boost::asio::steady_timer timer;
  Random random;
  MilliTime startedAt{};
  MilliTime nextHealthAt{};
  MilliTime nextDocumentAt{};
  MilliTime nextProgressAt{};
  std::string documentText;
  std::vector<CalledService> services;
  std::unordered_map<std::string, CallerFlow> flows;
  std::uint32_t nextCaller = 0;
  Totals totals;

  MilliTime now() const
  {
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return MilliTime{
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count()
    };
  }

  void readDocument()
  {
    const auto text = readFile(this->settings.documentFile);
    if (!text || text.value() == this->documentText) {
      return;
    }
    const ParsedConfiguration parsed = parseConfiguration(text.value());
    if (!parsed.fatalProblems.empty()) {
      return;
    }
    this->documentText = text.value();
    for (const ServiceConfig& config : parsed.configuration.services) {
      this->updateService(parsed.configuration, config);
    }
  }

  void updateService(const Configuration& configuration,
                     const ServiceConfig& config)
  {
    auto found = std::find_if(
      this->services.begin(), this->services.end(), [&](const auto& service) {
        return service.name == config.name;
      });
    if (found == this->services.end()) {
      CalledService service;
      service.name = config.name;
      service.address = { config.addresses.front(), config.ports.front() };
      service.longLived = config.balance == Balance::sticky;
      found = this->services.insert(this->services.end(), service);
    }
    found->serving.clear();
    for (const auto index : selectTargets(configuration, config)) {
      found->everSelected.insert(configuration.targets[index].id);
    }
    for (const auto index : selectServingTargets(configuration, config)) {
      found->serving.insert(configuration.targets[index].id);
    }
  }

  void step()
  {
    const MilliTime time = this->now();
    if (time >= this->nextDocumentAt) {
      this->nextDocumentAt = time + kDocumentPeriod;
      this->readDocument();
      this->instances.reload();
    }
    if (time >= this->nextHealthAt) {
      this->nextHealthAt = time + kHealthPeriod;
      this->instances.checkHealth();
    }
    this->openFlows(time);
    this->updateFlows(time);
    if (time >= this->nextProgressAt) {
      this->nextProgressAt = time + MilliDuration{ 1000 };
      this->printProgress(time);
    }
    if ((time - this->startedAt).ms >= this->settings.seconds * 1000) {
      this->context.stop();
      return;
    }
    this->timer.expires_after(std::chrono::milliseconds(kStepPeriod.ms));
    this->timer.async_wait([this](const boost::system::error_code& code) {
      if (!code) {
        this->step();
      }
    });
  }

  void openFlows(MilliTime time)
  {
    if (this->instances.healthyCount() == 0 || this->services.empty()) {
      return;
    }
    // Opens the flows over 3 s and then replaces those that ended.
    constexpr std::size_t kOpeningSteps = 300;
    const std::size_t maxPerStep = this->settings.flows / kOpeningSteps + 1;
    for (std::size_t i = 0; i < maxPerStep; ++i) {
      if (this->flows.size() < this->settings.flows) {
        this->openFlow(time);
      }
    }
  }

  void openFlow(MilliTime time)
  {
    constexpr std::uint32_t kFirstAddress = 10U << 24U;
    constexpr std::uint16_t kPort = 40000;
    const std::uint32_t number = kFirstAddress + ++this->nextCaller;
    CallerFlow flow;
    flow.service = this->random.below(this->services.size());
    const CalledService& service = this->services[flow.service];
    flow.key.source.address.bytes[10] = 0xff;
    flow.key.source.address.bytes[11] = 0xff;
    for (unsigned i = 0; i < 4; ++i) {
      flow.key.source.address.bytes[12 + i] =
        static_cast<std::uint8_t>(number >> (24U - 8U * i));
    }
    flow.key.source.port = kPort;
    flow.key.destination = service.address;
    flow.nextSendAt = time;
    const std::uint64_t lifetime = service.longLived ? 300000 : 10000;
    flow.closingTime = time + MilliDuration{ static_cast<std::int64_t>(
                                2000 + this->random.below(lifetime)) };
    ++this->totals.flows;
    this->flows.emplace(formatFlowKey(flow.key), std::move(flow));
  }

  void send(CallerFlow& flow, MilliTime time)
  {
    const standin::FabricInstance* instance =
      this->instances.pick(this->random);
    if (instance == nullptr) {
      return;
    }
    TcpFlags flags{ .syn = !flow.opened, .ack = flow.opened };
    flags.fin = flow.closing;
    const auto packet = buildTcpPacket(flow.key, flags, {});
    this->socket.send(packet, instance->data);
    ++this->totals.packets;
    flow.nextSendAt = time + flow.retransmissionDelay;
  }

  void sendNextPacket(CallerFlow& flow, MilliTime time)
  {
    flow.answered = false;
    flow.firstSentAt = time;
    flow.retransmissionDelay = kInitialRetransmissionDelay;
    flow.closing = flow.opened && time >= flow.closingTime;
    this->send(flow, time);
  }

  void updateFlows(MilliTime time)
  {
    std::vector<std::string> finished;
    for (auto& [name, flow] : this->flows) {
      if (time < flow.nextSendAt) {
        continue;
      }
      if (flow.answered) {
        this->sendNextPacket(flow, time);
      } else if (time - flow.firstSentAt >= kResponseTimeout) {
        ++this->totals.broken;
        finished.push_back(name);
      } else {
        ++this->totals.retransmitted;
        flow.retransmissionDelay.ms =
          std::min(2 * flow.retransmissionDelay.ms, kMaxRetransmissionDelay.ms);
        this->send(flow, time);
      }
    }
    for (const std::string& name : finished) {
      this->flows.erase(name);
    }
  }

  void onAnswer(std::span<const std::uint8_t> bytes)
  {
    const ParsedPacket packet = parsePacket(bytes);
    const FlowKey key{ packet.key.destination,
                       packet.key.source,
                       packet.key.protocol };
    const auto found = this->flows.find(formatFlowKey(key));
    if (packet.fault != ParseFault::none || found == this->flows.end()) {
      return;
    }
    ++this->totals.answers;
    CallerFlow& flow = found->second;
    const Answer answer = parseAnswer(bytes);
    if (answer.reset) {
      ++(flow.opened ? this->totals.broken : this->totals.refused);
      this->flows.erase(found);
      return;
    }
    const bool selected =
      this->services[flow.service].everSelected.contains(answer.target);
    if (!selected) {
      ++this->totals.misdelivered;
    }
    if (flow.opened && answer.target != flow.target) {
      ++this->totals.broken;
      this->flows.erase(found);
      return;
    }
    if (answer.finished && flow.closing) {
      this->flows.erase(found);
      return;
    }
    flow.opened = true;
    flow.target = answer.target;
    if (!flow.answered) {
      flow.answered = true;
      const auto jitter = this->random.below(
        static_cast<std::uint64_t>(this->settings.intervalMs));
      flow.nextSendAt =
        this->now() + MilliDuration{ this->settings.intervalMs / 2 +
                                     static_cast<std::int64_t>(jitter) };
    }
  }

  std::map<std::string, std::size_t> openFlowsByTarget(
    std::size_t service) const
  {
    std::map<std::string, std::size_t> counts;
    for (const std::string& target : this->services[service].serving) {
      counts[target] = 0;
    }
    for (const auto& [name, flow] : this->flows) {
      const auto found = counts.find(flow.target);
      if (flow.service == service && flow.opened && found != counts.end()) {
        ++found->second;
      }
    }
    return counts;
  }

  /// \returns the ratio of the maximum to the mean of open flows per serving
  /// target, for the service with the highest ratio.
  double imbalance() const
  {
    double worst = 1;
    for (std::size_t i = 0; i < this->services.size(); ++i) {
      std::size_t maximum = 0;
      std::size_t sum = 0;
      const auto counts = this->openFlowsByTarget(i);
      for (const auto& [target, count] : counts) {
        maximum = std::max(maximum, count);
        sum += count;
      }
      if (sum > 0) {
        worst = std::max(worst,
                         static_cast<double>(maximum * counts.size()) /
                           static_cast<double>(sum));
      }
    }
    return worst;
  }

  void printProgress(MilliTime time) const
  {
    std::cout << "t=" << (time - this->startedAt).ms / 1000
              << "s instances=" << this->instances.healthyCount()
              << " open=" << this->flows.size()
              << " packets=" << this->totals.packets
              << " retransmitted=" << this->totals.retransmitted
              << " broken=" << this->totals.broken
              << " misdelivered=" << this->totals.misdelivered
              << " refused=" << this->totals.refused << std::endl;
  }

  void printTable() const
  {
    std::cout << "\nservice        target        open flows\n";
    for (std::size_t i = 0; i < this->services.size(); ++i) {
      for (const auto& [target, count] : this->openFlowsByTarget(i)) {
        std::cout << std::left << std::setw(15) << this->services[i].name
                  << std::setw(14) << target << count << '\n';
      }
    }
    std::cout << "answers=" << this->totals.answers
              << " retransmitted=" << this->totals.retransmitted << "\n\n";
  }
};

}
}

int
main(int argc, char** argv)
{
  using namespace buckthornwing;
  TCLAP::CmdLine command("Stand-in for the fabric, with callers", ' ', "0.1");
  TCLAP::ValueArg<std::string> instances(
    "",
    "instances",
    "file with a line for each instance: id data-endpoint "
    "operators-endpoint",
    true,
    "",
    "FILE",
    command);
  TCLAP::ValueArg<std::string> document(
    "", "document", "configuration document", true, "", "FILE", command);
  TCLAP::ValueArg<std::string> listen("",
                                      "listen",
                                      "address:port that receives answers",
                                      true,
                                      "",
                                      "ENDPOINT",
                                      command);
  TCLAP::ValueArg<std::size_t> flows(
    "", "flows", "number of open flows", false, 1000, "N", command);
  TCLAP::ValueArg<std::int64_t> seconds(
    "", "seconds", "duration of the run", false, 30, "N", command);
  TCLAP::ValueArg<std::int64_t> interval("",
                                         "interval-ms",
                                         "mean time between packets of a flow",
                                         false,
                                         500,
                                         "N",
                                         command);
  TCLAP::ValueArg<std::uint64_t> seed(
    "", "seed", "seed of all random choices", false, 1, "N", command);
  command.parse(argc, argv);
  const auto address = parseEndpoint(listen.getValue());
  if (!address) {
    std::cerr << "standin-fabric: --listen: expected address:port\n";
    return kFailureExit;
  }
  boost::asio::io_context context;
  internal::Fabric fabric(context,
                          { instances.getValue(),
                            document.getValue(),
                            *address,
                            flows.getValue(),
                            seconds.getValue(),
                            interval.getValue(),
                            seed.getValue() });
  return runMain("standin-fabric", [&]() -> boost::leaf::result<int> {
    BOOST_LEAF_CHECK(fabric.start());
    context.run();
    return fabric.report();
  });
}
