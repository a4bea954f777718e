#ifndef BUCKTHORNWING_JSON_LOG_H
#define BUCKTHORNWING_JSON_LOG_H

#include "../Board/Blackboard.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace buckthornwing {
namespace internal {

/// \brief A pipe takes so many bytes whole or not at all.
constexpr std::size_t kMostBytesTogether = 4096;

/// \returns how many of the first lines fit what is written together; at least
/// one.
std::size_t
countTogether(std::span<const std::string> lines);

}

/// \brief Writes JSON lines through log4cxx on a thread of its own.
///
/// Lines are gathered for a moment and written together, so that a line costs
/// neither a wake-up nor a system call. write() never waits for the disk: when
/// the writer falls behind, lines are lost and counted.
class JsonLog
{
public:
  /// \param fileName empty for standard output
  explicit JsonLog(const std::string& fileName);
  ~JsonLog();

  JsonLog(const JsonLog&) = delete;
  JsonLog& operator=(const JsonLog&) = delete;

  void write(std::string line);

  /// \returns lines lost since the start.
  std::uint64_t lost() const { return this->lostLines; }

private:
  std::mutex mutex;
  std::condition_variable wake;
  std::vector<std::string> lines;
  std::atomic<std::uint64_t> lostLines{ 0 };
  bool stopping = false;
  std::thread writer;

  void run();
};

/// \returns the JSON line for an event of an engine.
/// \param unixMs wall-clock time in milliseconds
std::string
formatEvent(const Blackboard& board, const Event& event, std::int64_t unixMs);

}

#endif
