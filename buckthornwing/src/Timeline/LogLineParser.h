#ifndef BUCKTHORNWING_LOG_LINE_PARSER_H
#define BUCKTHORNWING_LOG_LINE_PARSER_H

#include "LogLine.h"

#include <array>
#include <boost/json.hpp>

namespace buckthornwing {

/// \brief Parses log lines, reusing one buffer for all of them.
class LogLineParser
{
public:
  LogLineParser() = default;
  LogLineParser(const LogLineParser&) = delete;
  LogLineParser& operator=(const LogLineParser&) = delete;

  /// \brief Parses the JSON object that starts at the first opening brace of
  /// \a text and extends to its end.
  /// \returns the log line, whose string views are valid until the next call;
  /// nothing if there is no valid JSON object, or if its time, instance or
  /// event is missing or invalid.
  std::optional<LogLine> parse(std::string_view text);

private:
  static constexpr std::size_t kMemoryBytes = 32UL * 1024;

  std::array<unsigned char, kMemoryBytes> buffer;
  boost::json::monotonic_resource memory{ this->buffer.data(), kMemoryBytes };
  boost::json::value document =
    boost::json::value(boost::json::storage_ptr(&this->memory));
};

}

#endif
