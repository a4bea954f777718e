/// \file
/// \brief Fuzzes the configuration parser, deltas and selectors.

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
  const bool good = parsed.fatal.empty();
  if (good && parsed.configuration.revision == 0) {
    std::abort();
  }
  const auto delta = computeDelta(text, text);
  if (good && (!delta || !applyDelta(text, *delta))) {
    std::abort();
  }
  const auto selector = parseSelector(text);
  if (const auto* found = std::get_if<Selector>(&selector)) {
    const auto again = parseSelector(formatSelector(*found));
    if (!std::holds_alternative<Selector>(again)) {
      std::abort();
    }
  }
  return 0;
}
