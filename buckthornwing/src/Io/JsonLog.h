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

/// \brief Largest write to a pipe, in bytes, that is atomic (PIPE_BUF on
/// Linux).
constexpr std::size_t kMaxAtomicWriteBytes = 4096;

/// \returns the number of leading lines that fit into one atomic write to a
/// pipe; at least one, unless there are no lines.
std::size_t
countLinesPerWrite(std::span<const std::string> lines);

}

/// \brief Log of JSON lines, written through log4cxx by a separate thread.
///
/// Lines are collected for a short time and written in batches, so that most
/// lines cost neither a thread wake-up nor a system call. write() never waits
/// for the disk: lines that exceed the queue are discarded and counted.
class JsonLog
{
public:
  /// \param fileName file that is appended to; empty for standard output
  explicit JsonLog(const std::string& fileName);
  /// \brief Writes all queued lines.
  ~JsonLog();

  JsonLog(const JsonLog&) = delete;
  JsonLog& operator=(const JsonLog&) = delete;

  /// \brief Queues a line.
  /// \param line a complete JSON object, without a line break
  void write(std::string line);

  /// \returns the number of lines since the start that were discarded because
  /// the queue was full or writing failed.
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

/// \returns an engine event as a JSON line.
/// \param unixMs wall-clock time in milliseconds
std::string
formatEvent(const Blackboard& board, const Event& event, std::int64_t unixMs);

}

#endif
