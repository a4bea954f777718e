#include "JsonLog.h"

#include <boost/json.hpp>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <span>

namespace buckthornwing {
namespace internal {

/// \brief Maximum number of queued lines.
constexpr std::size_t kMaxQueuedLines = 20000;
/// \brief Time for which lines are collected before they are written. A process
/// that is killed loses the lines of up to this time.
constexpr MilliDuration kBatchPeriod{ 100 };

log4cxx::LoggerPtr
makeLogger(const std::string& fileName)
{
  // The lines are complete JSON objects; the layout adds only the line break.
  const log4cxx::LayoutPtr layout(
    new log4cxx::PatternLayout(LOG4CXX_STR("%m%n")));
  log4cxx::AppenderPtr appender;
  if (fileName.empty()) {
    appender.reset(new log4cxx::ConsoleAppender(layout));
  } else {
    LOG4CXX_DECODE_CHAR(path, fileName);
    appender.reset(new log4cxx::FileAppender(layout, path, true));
  }
  log4cxx::LoggerPtr logger =
    log4cxx::Logger::getLogger(LOG4CXX_STR("buckthornwing"));
  logger->removeAllAppenders();
  logger->setAdditivity(false);
  logger->addAppender(appender);
  logger->setLevel(log4cxx::Level::getInfo());
  return logger;
}

/// \brief Writes lines as one log message.
/// \returns the number of lines that could not be written.
std::uint64_t
writeLines(const log4cxx::LoggerPtr& logger, std::span<const std::string> lines)
{
  std::string text;
  for (const std::string& line : lines) {
    text += text.empty() ? "" : "\n";
    text += line;
  }
  try {
    LOG4CXX_INFO(logger, text);
  } catch (const std::exception&) {
    // A logging failure such as a full disk must not affect packets.
    return lines.size();
  }
  return 0;
}

std::size_t
countLinesPerWrite(std::span<const std::string> lines)
{
  std::size_t count = 0;
  std::size_t bytes = 0;
  for (const std::string& line : lines) {
    bytes += line.size() + 1;
    if (count > 0 && bytes > kMaxAtomicWriteBytes) {
      break;
    }
    ++count;
  }
  return count;
}

void
addFlow(const Blackboard& board, const Event& event, boost::json::object& line)
{
  const bool hasFlow = event.kind == EventKind::placement ||
                       event.kind == EventKind::refusal ||
                       event.kind == EventKind::drop;
  if (hasFlow) {
    line["flow"] = formatFlowKey(event.flow);
  }
  if (event.service != kNoServiceIndex) {
    line["service"] = board.services[event.service].config.name;
  }
  if (event.target != kNoTargetIndex) {
    line["target"] = board.targets[event.target].config.id;
  }
}

}

JsonLog::JsonLog(const std::string& fileName)
{
  const log4cxx::LoggerPtr logger = internal::makeLogger(fileName);
  this->writer = std::thread([this] { this->run(); });
}

JsonLog::~JsonLog()
{
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->wake.notify_one();
  this->writer.join();
}

void
JsonLog::write(std::string line)
{
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->lines.size() >= internal::kMaxQueuedLines) {
      ++this->lostLines;
      return;
    }
    this->lines.push_back(std::move(line));
    if (this->lines.size() > 1) {
      // The writer was notified when the first queued line was added.
      return;
    }
  }
  this->wake.notify_one();
}

void
JsonLog::run()
{
  const log4cxx::LoggerPtr logger =
    log4cxx::Logger::getLogger(LOG4CXX_STR("buckthornwing"));
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping || !this->lines.empty()) {
    this->wake.wait(lock,
                    [this] { return this->stopping || !this->lines.empty(); });
    this->wake.wait_for(lock,
                        std::chrono::milliseconds(internal::kBatchPeriod.ms),
                        [this] { return this->stopping; });
    std::vector<std::string> batch;
    batch.swap(this->lines);
    lock.unlock();
    std::span<const std::string> rest(batch);
    while (!rest.empty()) {
      const std::size_t count = internal::countLinesPerWrite(rest);
      this->lostLines += internal::writeLines(logger, rest.first(count));
      rest = rest.subspan(count);
    }
    lock.lock();
  }
}

std::string
formatEvent(const Blackboard& board, const Event& event, std::int64_t unixMs)
{
  boost::json::object line;
  line["time_ms"] = unixMs;
  line["instance"] = board.self().id;
  line["event"] = eventName(event.kind);
  internal::addFlow(board, event, line);
  if (event.member != kNoMember) {
    line["member"] = board.members[event.member].id;
  }
  if (event.reason != Reason::none) {
    line["reason"] = reasonName(event.reason);
  }
  if (event.count != 0) {
    line["count"] = event.count;
  }
  if (!event.note.empty()) {
    line["note"] = event.note;
  }
  line["revision"] = board.view.revision;
  return boost::json::serialize(line);
}

}
