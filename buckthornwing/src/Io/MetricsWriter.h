#ifndef BUCKTHORNWING_METRICS_WRITER_H
#define BUCKTHORNWING_METRICS_WRITER_H

#include "../Observation/LatencyHistogram.h"

#include <sstream>
#include <string>
#include <string_view>

namespace buckthornwing::internal {

/// \brief Writes metrics in the Prometheus text format.
class MetricsWriter
{
public:
  /// \brief Writes the HELP and TYPE lines of a metric.
  /// \param name without the prefix "buckthornwing_"
  void family(const char* name, const char* type, const char* help)
  {
    this->text << "# HELP buckthornwing_" << name << ' ' << help << '\n'
               << "# TYPE buckthornwing_" << name << ' ' << type << '\n';
  }

  /// \brief Writes one sample of a metric.
  /// \param labels written between braces, unless empty
  template<typename Value>
  void sample(const char* name, Value value, const std::string& labels = {})
  {
    this->text << "buckthornwing_" << name;
    if (!labels.empty()) {
      this->text << '{' << labels << '}';
    }
    this->text << ' ' << value << '\n';
  }

  /// \brief Writes a metric that has one sample without labels.
  template<typename Value>
  void single(const char* name, const char* type, const char* help, Value value)
  {
    this->family(name, type, help);
    this->sample(name, value);
  }

  /// \brief Writes a histogram; its milliseconds are converted to seconds.
  void histogram(const char* name,
                 const char* help,
                 const LatencyHistogram& histogram)
  {
    constexpr double kMsPerSecond = 1000;
    this->family(name, "histogram", help);
    const std::string base(name);
    std::uint64_t count = 0;
    for (std::size_t i = 0; i < LatencyHistogram::kBoundsMs.size(); ++i) {
      count += histogram.sampleCount(i);
      std::ostringstream bound;
      bound << "le=\"" << LatencyHistogram::kBoundsMs[i] / kMsPerSecond << '"';
      this->sample((base + "_bucket").c_str(), count, bound.str());
    }
    count += histogram.sampleCount(LatencyHistogram::kBoundsMs.size());
    this->sample((base + "_bucket").c_str(), count, "le=\"+Inf\"");
    this->sample((base + "_sum").c_str(), histogram.sumOfMs() / kMsPerSecond);
    this->sample((base + "_count").c_str(), count);
  }

  std::string str() const { return this->text.str(); }

private:
  std::ostringstream text;
};

/// \returns a label as name="value"; quotes and backslashes of the value are
/// escaped.
inline std::string
label(const char* name, std::string_view value)
{
  std::string text(name);
  text += "=\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c;
  }
  return text + "\"";
}

}

#endif
