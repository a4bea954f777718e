/// \file
/// \brief Fuzzes the configuration parser, deltas and selectors.
///
/// A valid document must have a revision, a delta of a text to itself must
/// apply, and a formatted selector must be parseable.

#include <Config>
#include <Distribution>

#include <cstdlib>
#include <string_view>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
  using namespace buckthornwing;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const ParsedConfiguration parsed = parseConfiguration(text);
  const bool isValid = parsed.fatalProblems.empty();
  if (isValid && parsed.configuration.revision == 0) {
    std::abort();
  }
  const auto delta = computeDelta(text, text);
  if (isValid && (!delta || !applyDelta(text, *delta))) {
    std::abort();
  }
  const auto selector = parseSelector(text);
  if (const auto* parsedSelector = std::get_if<Selector>(&selector)) {
    const auto reparsed = parseSelector(formatSelector(*parsedSelector));
    if (!std::holds_alternative<Selector>(reparsed)) {
      std::abort();
    }
  }
  return 0;
}
