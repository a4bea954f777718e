#ifndef BUCKTHORNWING_METRICS_WRITER_H
#define BUCKTHORNWING_METRICS_WRITER_H

#include <sstream>
#include <string>
#include <string_view>

namespace buckthornwing::internal {

/// \brief Writes metrics with their help and type lines.
class MetricsWriter
{
public:
  void family(const char* name, const char* type, const char* help)
  {
    this->text << "# HELP buckthornwing_" << name << ' ' << help << '\n'
               << "# TYPE buckthornwing_" << name << ' ' << type << '\n';
  }

  template<typename Value>
  void sample(const char* name, Value value, const std::string& labels = {})
  {
    this->text << "buckthornwing_" << name;
    if (!labels.empty()) {
      this->text << '{' << labels << '}';
    }
    this->text << ' ' << value << '\n';
  }

  template<typename Value>
  void single(const char* name, const char* type, const char* help, Value value)
  {
    this->family(name, type, help);
    this->sample(name, value);
  }

  std::string str() const { return this->text.str(); }

private:
  std::ostringstream text;
};

/// \returns name="value" with what must be escaped in the value escaped.
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
