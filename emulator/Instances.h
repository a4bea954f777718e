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

/// \brief An instance: the process of a daemon, and the proxies between it and
/// the store and between it and its peers.
struct Instance
{
  std::string zone;
  Stability stability;       ///< all faults of the instance
  Stability freezeStability; ///< only times in which the process is frozen
  unsigned startCount = 0;   ///< number of processes started
  MilliTime startedAt{};
  std::optional<MilliTime> stopRequestedAt; ///< while a planned stop is active
  bool wasKilled = false;
  bool hasLogged = false; ///< the present process has written a log line
  std::set<std::size_t> blockedPeers; ///< senders whose datagrams are dropped
  MilliDuration peerDelay{};          ///< delay of datagrams from peers
  std::string settingsFile;
  std::unique_ptr<InstanceProcess> process;
  std::unique_ptr<StreamProxy> storeProxy;
  std::unique_ptr<DatagramSocket> peerProxy;
};

/// \brief The instances of an emulation, which run as processes.
class Instances
{
public:
  Instances(boost::asio::io_context& context,
            const Addresses& addresses,
            Guarantees& guarantees,
            std::string program,
            std::string directory);

  /// \brief Prepares and starts an instance in each of the given zones.
  /// \returns an error if a proxy can't be opened
  boost::leaf::result<void> start(const std::vector<std::string>& zones);

  std::size_t size() const { return this->instances.size(); }
  Instance& at(std::size_t index) { return this->instances[index]; }

  /// \returns the index of the instance with the IP address of \a address, or
  /// nothing if there is none.
  std::optional<std::size_t> indexOf(const Endpoint& address) const;

  /// \brief Records a fault of an instance, which the caller has caused, and
  /// calls \a undo after \a duration to end it.
  void injectFault(std::size_t index,
                   const std::string& name,
                   MilliDuration duration,
                   std::function<void(Instance&)> undo);
  /// \brief Kills the process and starts a new one after \a downFor.
  void kill(std::size_t index, MilliDuration downFor);
  /// \brief Requests a planned stop of the process. The next process is started
  /// shortly after Bounds::kStopTimeout plus \a downFor.
  void stop(std::size_t index, MilliDuration downFor);
  /// \brief Suspends the process (SIGSTOP) for \a duration.
  void freeze(std::size_t index, MilliDuration duration);
  /// \brief Lets the process reload its settings file.
  /// \param isInvalid truncates the file first
  void reload(std::size_t index, bool isInvalid);
  /// \brief Stops reading the log of the process for \a duration.
  void stallLog(std::size_t index, MilliDuration duration);
  /// \brief Injects a fault into the connections of an instance to the store.
  void injectStoreLinkFault(std::size_t index,
                            StreamFault fault,
                            MilliDuration duration);
  /// \brief Drops the datagrams that instance \a from sends to instance
  /// \a index. The other direction isn't affected.
  void blockPeer(std::size_t index, std::size_t from, MilliDuration duration);
  /// \brief Delays the datagrams that an instance receives from its peers.
  void delayPeers(std::size_t index,
                  MilliDuration delay,
                  MilliDuration duration);

  /// \brief Checks the memory size of each process against its limit.
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
  /// \brief Checks that a line of the log is a JSON object.
  void checkLogLine(std::size_t index, const std::string& line);
  void pollProcesses();
  /// \param code exit code of the process, or the negative signal number
  void onExit(std::size_t index, int code);
};

}

#endif
