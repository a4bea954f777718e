#ifndef REVIEW_FLEET_HH
#define REVIEW_FLEET_HH

#include "Callers.hh"
#include "Net.hh"
#include "Record.hh"

#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <signal.h>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace review {

/// \brief Ports that are the same on all machines of a run.
struct Ports
{
  std::uint16_t packets = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t peers = 0;
  std::uint16_t store = 0;
  std::uint16_t targets = 0;
};

/// \returns ports from a random base that are free on the given addresses.
inline Ports
findPorts(const std::vector<std::uint32_t>& ips)
{
  std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 50; ++tries) {
    const auto base = static_cast<std::uint16_t>(10000 + random() % 18000);
    bool isFree = true;
    for (const std::uint32_t ip : ips) {
      for (std::uint16_t i = 0; i < 6 && isFree; ++i) {
        for (const int type : { SOCK_DGRAM, SOCK_STREAM }) {
          const int descriptor =
            bindSocket(type, { ip, static_cast<std::uint16_t>(base + i) });
          isFree = isFree && descriptor >= 0;
          if (descriptor >= 0) {
            close(descriptor);
          }
        }
      }
    }
    if (isFree) {
      const auto port = [base](int i) {
        return static_cast<std::uint16_t>(base + i);
      };
      return { port(0), port(1), port(2), port(3), port(4), port(5) };
    }
  }
  throw std::runtime_error("no free ports");
}

/// \brief The processes of the system, one for each machine.
class Fleet
{
public:
  struct Machine
  {
    std::string name;
    std::string zone;
    std::string ip;
    std::string peerIp; ///< bound for peers, if they send to a proxy at ip;
                        ///< empty: ip
  };

  Fleet(Record& record,
        std::string program,
        std::string repository,
        std::string folder,
        Ports ports)
    : record(record)
    , program(std::move(program))
    , repository(std::move(repository))
    , folder(std::move(folder))
    , ports(ports)
  {
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  ~Fleet()
  {
    for (const auto& [name, pid] : this->pids) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    for (const pid_t pid : this->stopping) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }

  void add(const Machine& machine) { this->machines.push_back(machine); }
  const std::vector<Machine>& all() const { return this->machines; }

  /// \brief Starts a process with the settings that the template of the deploy
  /// file gives. "bootstrap" is false: it isn't the first start of the whole
  /// system.
  void start(const Machine& machine, const std::string& storeAddress)
  {
    const std::string file = this->folder + "/" + machine.name + ".json";
    std::string seeds;
    for (std::size_t i = 0; i < this->machines.size() && i < 3; ++i) {
      seeds += (i == 0 ? "\"" : ",\"") + this->machines[i].ip + ":" +
               std::to_string(this->ports.control) + "\"";
    }
    const auto at = [&](std::uint16_t port) {
      return "\"" + machine.ip + ":" + std::to_string(port) + "\"";
    };
    std::ofstream(file)
      << "{\"id\":\"" << machine.name << "\",\"zone\":\"" << machine.zone
      << "\",\"packet_address\":" << at(this->ports.packets)
      << ",\"ready_address\":" << at(this->ports.ready)
      << ",\"operators_address\":" << at(this->ports.control)
      << this->peerAddresses(machine) << ",\"seeds\":[" << seeds
      << "],\"link_mbps\":1000.0,"
      << "\"store\":\"" << storeAddress
      << "\",\"fleet_key\":\"replace-this-example-secret\",\"stop_within_s\":6,"
         "\"log_level\":\"decisions\"}\n";
    const pid_t pid = fork();
    if (pid == 0) {
      this->runChild(machine.name, file);
    }
    this->pids[machine.name] = pid;
    this->record.line("start " + machine.name);
  }

  void killProcess(const std::string& name)
  {
    kill(this->pids.at(name), SIGKILL);
    waitpid(this->pids.at(name), nullptr, 0);
    this->pids.erase(name);
    this->record.line("kill " + name);
  }

  /// \brief Starts a planned stop of a process.
  void stopProcess(const std::string& name)
  {
    kill(this->pids.at(name), SIGTERM);
    this->stopping.push_back(this->pids.at(name));
    this->pids.erase(name);
    this->record.line("SIGTERM to " + name);
  }

  /// \returns whether all started processes still run.
  bool allRun() const
  {
    for (const auto& [name, pid] : this->pids) {
      if (waitpid(pid, nullptr, WNOHANG) != 0) {
        return false;
      }
    }
    return true;
  }

private:
  Record& record;
  std::string program;
  std::string repository;
  std::string folder;
  Ports ports;
  std::vector<Machine> machines;
  std::map<std::string, pid_t> pids;
  std::vector<pid_t> stopping;

  std::string peerAddresses(const Machine& machine) const
  {
    const std::string port = ":" + std::to_string(this->ports.peers) + "\"";
    if (machine.peerIp.empty()) {
      return ",\"peer_address\":\"" + machine.ip + port;
    }
    return ",\"peer_address\":\"" + machine.peerIp + port +
           ",\"peer_advertised_address\":\"" + machine.ip + port;
  }

  [[noreturn]] void runChild(const std::string& name, const std::string& file)
  {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const std::string log = this->folder + "/" + name + ".log";
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv("BUCKTHORNWING_NODE_FILE", file.c_str(), 1);
    if (chdir(this->repository.c_str()) == 0) {
      execl(this->program.c_str(), this->program.c_str(), nullptr);
    }
    _exit(127);
  }
};

}

#endif
