#include "Commands.h"

#include <Timeline>
#include <src/Io/Error.h>

#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <fstream>
#include <iostream>
#include <limits>
#include <span>

namespace buckthornwing::bwctl {
namespace {

/// \brief Size of the line buffer. A line that does not fit with its
/// terminating zero byte is counted as malformed.
constexpr std::size_t kMaxLineBytes = 64UL * 1024;
/// \brief Size of the buffer for reading a file.
constexpr std::size_t kReadBufferBytes = 256UL * 1024;

/// \brief Adds every line of a file to a timeline, with one line in memory at a
/// time.
/// \returns an error if the file can't be opened or read to its end.
boost::leaf::result<void>
addFile(const std::string& file, Timeline& timeline)
{
  std::vector<char> readBuffer(kReadBufferBytes);
  std::ifstream log;
  log.rdbuf()->pubsetbuf(readBuffer.data(), kReadBufferBytes);
  log.open(file);
  if (!log) {
    return boost::leaf::new_error(
      Error{ "read log", file, "cannot open the file" });
  }
  std::vector<char> line(kMaxLineBytes);
  while (log.peek() != std::ifstream::traits_type::eof()) {
    log.getline(line.data(), kMaxLineBytes);
    if (log.bad()) {
      break;
    }
    if (log.fail()) {
      log.clear();
      log.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
      timeline.addMalformed();
      continue;
    }
    timeline.addLine(line.data());
  }
  if (log.bad()) {
    return boost::leaf::new_error(
      Error{ "read log", file, "read error before the end of the file" });
  }
  return {};
}

void
printText(const TimelineReport& report, std::span<const Anomaly> anomalies)
{
  if (!report.rows.empty()) {
    std::cout << "from " << formatDate(report.rows.front().second) << ' '
              << formatClock(report.rows.front().second) << " UTC\n"
              << formatTableHeader() << '\n';
  }
  for (const TimelineRow& row : report.rows) {
    std::cout << formatRow(row) << '\n';
  }
  std::cout << "\nwhat stands out:\n";
  for (const Anomaly& anomaly : anomalies) {
    std::cout << "  " << anomaly.description << '\n';
  }
  std::cout << "\ntargets found dead:\n";
  for (const DeathDetection& detection : report.detections) {
    std::cout << "  " << formatDeathDetection(report, detection) << '\n';
  }
  std::cout << '\n'
            << formatCount(report.lines, "line") << ", "
            << formatCount(report.malformed, "malformed line") << '\n';
}

/// \brief Prints an array as a field of a JSON object, element by element, so
/// that a long array is never in memory as a whole.
/// \param toObject converts an element to JSON
template<typename Element, typename ToJson>
void
printArray(const char* name, std::span<const Element> elements, ToJson toObject)
{
  std::cout << ",\"" << name << "\":[";
  const char* separator = "\n";
  for (const Element& element : elements) {
    std::cout << separator << boost::json::serialize(toObject(element));
    separator = ",\n";
  }
  std::cout << ']';
}

void
printJson(const TimelineReport& report, std::span<const Anomaly> anomalies)
{
  std::cout << "{\"lines\":" << report.lines
            << ",\"malformed\":" << report.malformed;
  printArray<TimelineRow>(
    "seconds", report.rows, [](const TimelineRow& row) { return toJson(row); });
  printArray<Anomaly>("spells", anomalies, [](const Anomaly& anomaly) {
    return toJson(anomaly);
  });
  printArray<DeathDetection>(
    "deaths", report.detections, [&](const DeathDetection& detection) {
      return toJson(report, detection);
    });
  std::cout << "}\n";
}

boost::leaf::result<void>
writeSvg(const std::string& file, const TimelineReport& report)
{
  std::ofstream output(file);
  output << drawTimelineSvg(report) << std::flush;
  if (!output) {
    return boost::leaf::new_error(
      Error{ "write SVG", file, "cannot write the file" });
  }
  return {};
}

}

boost::leaf::result<int>
timeline(const Arguments& arguments)
{
  Timeline timeline;
  for (const std::string& file : arguments.positional) {
    BOOST_LEAF_CHECK(addFile(file, timeline));
  }
  const TimelineReport report = timeline.finish();
  if (!arguments.svg.empty()) {
    BOOST_LEAF_CHECK(writeSvg(arguments.svg, report));
  }
  const std::vector<Anomaly> anomalies = findAnomalies(report);
  if (arguments.json) {
    printJson(report, anomalies);
  } else {
    printText(report, anomalies);
  }
  return report.lines != 0 ? kExitSuccess : kExitNegative;
}

}
