#ifndef BUCKTHORNWING_EMULATOR_INSTANCES_H
#define BUCKTHORNWING_EMULATOR_INSTANCES_H

#include "Addresses.h"
#include "DatagramSocket.h"
#include "Guarantees.h"
#include "InstanceProcess.h"
#include "StreamProxy.h"
#include "Timers.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornwing::emulator {

/// \brief An entry instance: its process, and what stands between it and the
/// store and its peers.
struct Instance
{
  std::string zone;
  Stability stability;
  Stability freezeStability; ///< without freezes
  unsigned startCount = 0;
  MilliTime startedAt{};
  std::optional<MilliTime> stopRequestedAt; ///< of a planned stop under way
  bool wasKilled = false;
  std::set<std::size_t> blockedPeers; ///< peers whose datagrams are lost
  MilliDuration peerDelay{};
  std::string settingsFile;
  std::unique_ptr<InstanceProcess> process;
  std::unique_ptr<StreamProxy> storeProxy;
  std::unique_ptr<DatagramSocket> peerProxy;
};

/// \brief The entry instances of a run, as processes.
class Instances
{
public:
  Instances(boost::asio::io_context& context,
            const Addresses& addresses,
            Guarantees& guarantees,
            std::string program,
            std::string directory);

  /// \brief Prepares and starts \a count instances in two zones.
  boost::leaf::result<void> start(std::size_t count);

  std::size_t size() const { return this->instances.size(); }
  Instance& at(std::size_t index) { return this->instances[index]; }

  /// \returns the instance behind an address, or nothing.
  std::optional<std::size_t> indexOf(const Endpoint& address) const;

  /// \brief Counts a fault of one instance and undoes it after \a span.
  void injectFault(std::size_t index,
                   const std::string& name,
                   MilliDuration duration,
                   std::function<void(Instance&)> undo);
  void kill(std::size_t index, MilliDuration downFor);
  void stop(std::size_t index, MilliDuration downFor);
  void freeze(std::size_t index, MilliDuration duration);
  void reload(std::size_t index, bool isInvalid);
  void stallLog(std::size_t index, MilliDuration duration);
  void injectStoreLinkFault(std::size_t index,
                            StreamFault fault,
                            MilliDuration duration);
  void blockPeer(std::size_t index, std::size_t from, MilliDuration duration);
  void delayPeers(std::size_t index,
                  MilliDuration delay,
                  MilliDuration duration);

  void checkMemory();

private:
  boost::asio::io_context& context;
  Timers timers;
  Addresses addresses;
  Guarantees& guarantees;
  std::string program;
  std::string directory;
  std::vector<Instance> instances;

  boost::leaf::result<void> prepare(std::size_t index);
  boost::leaf::result<void> openProxies(std::size_t index);
  void writeSettings(const Instance& instance,
                     std::size_t index,
                     bool isInvalid) const;
  void launch(std::size_t index);
  void checkLogLine(std::size_t index, const std::string& line);
  void pollProcesses();
  void onExit(std::size_t index, int code);
};

}

#endif
