#ifndef BUCKTHORNWING_EMULATOR_ENTRIES_H
#define BUCKTHORNWING_EMULATOR_ENTRIES_H

#include "Addresses.h"
#include "Datagrams.h"
#include "EntryProcess.h"
#include "Promises.h"
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
struct Entry
{
  std::string zone;
  Stability stability;
  Stability running; ///< without freezes
  unsigned starts = 0;
  MilliTime startedAt{};
  std::optional<MilliTime> stopAskedAt; ///< of a planned stop under way
  bool wasKilled = false;
  std::set<std::size_t> blockedPeers; ///< peers whose datagrams are lost
  MilliDuration peerDelay{};
  std::string settingsFile;
  std::unique_ptr<EntryProcess> process;
  std::unique_ptr<StreamProxy> storeProxy;
  std::unique_ptr<Datagrams> peerProxy;
};

/// \brief The entry instances of a run, as processes.
class Entries
{
public:
  Entries(boost::asio::io_context& context,
          const Addresses& addresses,
          Promises& promises,
          std::string program,
          std::string directory);

  /// \brief Prepares and starts \a count instances in two zones.
  boost::leaf::result<void> start(std::size_t count);

  std::size_t size() const { return this->entries.size(); }
  Entry& at(std::size_t index) { return this->entries[index]; }

  /// \returns the instance behind an address, or nothing.
  std::optional<std::size_t> indexOf(const Endpoint& address) const;

  /// \brief Counts a fault of one instance and undoes it after \a span.
  void harm(std::size_t index,
            const std::string& name,
            MilliDuration span,
            std::function<void(Entry&)> undo);
  void kill(std::size_t index, MilliDuration downFor);
  void stop(std::size_t index, MilliDuration downFor);
  void freeze(std::size_t index, MilliDuration span);
  void reload(std::size_t index, bool isBroken);
  void stallLog(std::size_t index, MilliDuration span);
  void cutStore(std::size_t index, StreamFault fault, MilliDuration span);
  void cutPeer(std::size_t index, std::size_t from, MilliDuration span);
  void delayPeers(std::size_t index, MilliDuration delay, MilliDuration span);

  void checkMemory();

private:
  boost::asio::io_context& context;
  Timers timers;
  Addresses addresses;
  Promises& promises;
  std::string program;
  std::string directory;
  std::vector<Entry> entries;

  boost::leaf::result<void> prepare(std::size_t index);
  boost::leaf::result<void> openProxies(std::size_t index);
  void writeSettings(const Entry& entry,
                     std::size_t index,
                     bool isBroken) const;
  void launch(std::size_t index);
  void takeLine(std::size_t index, const std::string& line);
  void watch();
  void onEnd(std::size_t index, int code);
};

}

#endif
