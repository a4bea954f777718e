/// \file
/// \brief Stand-in for the fabric with callers: opens flows, hands each packet
/// to a random healthy instance, and checks that all answers of a flow come
/// from one target that its service selects.

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

constexpr MilliDuration kStep{ 10 };
constexpr MilliDuration kHealthPeriod{ 100 };
constexpr MilliDuration kDocumentPeriod{ 100 };
constexpr MilliDuration kFirstRetransmission{ 300 };
constexpr MilliDuration kMostRetransmission{ 2000 };
/// \brief A flow unanswered for so long is broken.
constexpr MilliDuration kBrokenAfter{ 10000 };

/// \brief What the callers are told to do.
struct Plan
{
  std::string instancesFile;
  std::string documentFile;
  Endpoint listen;
  std::size_t flows = 0;
  std::int64_t seconds = 0;
  std::int64_t intervalMs = 0;
  std::uint64_t seed = 0;
};

/// \brief A service as callers use it, with every target it ever selected.
struct CalledService
{
  std::string name;
  Endpoint address;
  std::set<std::string> everSelected;
  std::set<std::string> serving;
  bool longLived = true;
};

/// \brief One caller's flow.
struct CallerFlow
{
  FlowKey key;
  std::size_t service = 0;
  std::string target;
  bool opened = false;
  bool closing = false;
  bool answered = true;
  MilliTime sendAt{};
  MilliTime askedAt{};
  MilliTime closeAt{};
  MilliDuration retransmission{};
};

/// \brief Totals of a run.
struct Totals
{
  std::uint64_t flows = 0;
  std::uint64_t broken = 0;
  std::uint64_t misdelivered = 0;
  std::uint64_t refused = 0;
  std::uint64_t packets = 0;
  std::uint64_t answers = 0;
  std::uint64_t retransmitted = 0;
};

/// \brief An answer's parts that callers look at.
struct Answer
{
  bool reset = false;
  bool finished = false;
  std::string target;
};

Answer
readAnswer(std::span<const std::uint8_t> bytes)
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

/// \brief The fabric and all callers.
class Fabric
{
public:
  Fabric(boost::asio::io_context& context, Plan plan)
    : context(context)
    , plan(std::move(plan))
    , instances(context, this->plan.instancesFile)
    , socket(context)
    , timer(context)
    , random{ this->plan.seed }
  {
  }

  boost::leaf::result<void> start()
  {
    BOOST_LEAF_CHECK(this->socket.open(this->plan.listen, "bind callers"));
    this->socket.start([this](auto bytes) { this->onAnswer(bytes); });
    this->startedAt = this->now();
    this->step();
    return {};
  }

  /// \returns the exit code.
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
  Plan plan;
  standin::FabricInstances instances;
  UdpSocket socket;
  boost::asio::steady_timer timer;
  Random random;
  MilliTime startedAt{};
  MilliTime nextHealthAt{};
  MilliTime nextDocumentAt{};
  MilliTime nextLineAt{};
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
    const auto text = readFile(this->plan.documentFile);
    if (!text || text.value() == this->documentText) {
      return;
    }
    const ParsedConfiguration parsed = parseConfiguration(text.value());
    if (!parsed.fatal.empty()) {
      return;
    }
    this->documentText = text.value();
    for (const ServiceConfig& config : parsed.configuration.services) {
      this->noteService(parsed.configuration, config);
    }
  }

  void noteService(const Configuration& configuration,
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
      this->instances.read();
    }
    if (time >= this->nextHealthAt) {
      this->nextHealthAt = time + kHealthPeriod;
      this->instances.check();
    }
    this->openFlows(time);
    this->driveFlows(time);
    if (time >= this->nextLineAt) {
      this->nextLineAt = time + MilliDuration{ 1000 };
      this->printProgress(time);
    }
    if ((time - this->startedAt).ms >= this->plan.seconds * 1000) {
      this->context.stop();
      return;
    }
    this->timer.expires_after(std::chrono::milliseconds(kStep.ms));
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
    // The flows are opened over three seconds, then kept at that number.
    constexpr std::size_t kSteps = 300;
    const std::size_t most = this->plan.flows / kSteps + 1;
    for (std::size_t i = 0; i < most; ++i) {
      if (this->flows.size() < this->plan.flows) {
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
    flow.sendAt = time;
    const std::uint64_t life = service.longLived ? 300000 : 10000;
    flow.closeAt = time + MilliDuration{ static_cast<std::int64_t>(
                            2000 + this->random.below(life)) };
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
    flow.sendAt = time + flow.retransmission;
  }

  void ask(CallerFlow& flow, MilliTime time)
  {
    flow.answered = false;
    flow.askedAt = time;
    flow.retransmission = kFirstRetransmission;
    flow.closing = flow.opened && time >= flow.closeAt;
    this->send(flow, time);
  }

  void driveFlows(MilliTime time)
  {
    std::vector<std::string> finished;
    for (auto& [name, flow] : this->flows) {
      if (time < flow.sendAt) {
        continue;
      }
      if (flow.answered) {
        this->ask(flow, time);
      } else if (time - flow.askedAt >= kBrokenAfter) {
        ++this->totals.broken;
        finished.push_back(name);
      } else {
        ++this->totals.retransmitted;
        flow.retransmission.ms =
          std::min(2 * flow.retransmission.ms, kMostRetransmission.ms);
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
    const Answer answer = readAnswer(bytes);
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
      const auto jitter =
        this->random.below(static_cast<std::uint64_t>(this->plan.intervalMs));
      flow.sendAt =
        this->now() + MilliDuration{ this->plan.intervalMs / 2 +
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

  /// \returns max/mean of open flows per serving target, worst service.
  double imbalance() const
  {
    double worst = 1;
    for (std::size_t i = 0; i < this->services.size(); ++i) {
      std::size_t most = 0;
      std::size_t sum = 0;
      const auto counts = this->openFlowsByTarget(i);
      for (const auto& [target, count] : counts) {
        most = std::max(most, count);
        sum += count;
      }
      if (sum > 0) {
        worst = std::max(worst,
                         static_cast<double>(most * counts.size()) /
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
  TCLAP::ValueArg<std::string> instances("",
                                         "instances",
                                         "lines of: id data-endpoint "
                                         "operators-endpoint",
                                         true,
                                         "",
                                         "FILE",
                                         command);
  TCLAP::ValueArg<std::string> document(
    "", "document", "configuration document", true, "", "FILE", command);
  TCLAP::ValueArg<std::string> listen(
    "", "listen", "address:port for answers", true, "", "ENDPOINT", command);
  TCLAP::ValueArg<std::size_t> flows(
    "", "flows", "open flows", false, 1000, "N", command);
  TCLAP::ValueArg<std::int64_t> seconds(
    "", "seconds", "length of the run", false, 30, "N", command);
  TCLAP::ValueArg<std::int64_t> interval(
    "", "interval-ms", "between packets of a flow", false, 500, "N", command);
  TCLAP::ValueArg<std::uint64_t> seed(
    "", "seed", "of all random choices", false, 1, "N", command);
  command.parse(argc, argv);
  const auto address = parseEndpoint(listen.getValue());
  if (!address) {
    std::cerr << "standin-fabric: --listen: expected address:port\n";
    return kUsageExit;
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
