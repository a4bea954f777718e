#ifndef BUCKTHORNWING_SELECTOR_H
#define BUCKTHORNWING_SELECTOR_H

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornwing {

/// \brief Labels of a backend server, by key.
using Labels = std::map<std::string, std::string, std::less<>>;

/// \brief How a requirement compares a label.
enum class SelectorOperator
{
  in,        ///< the key is there and its value is listed
  notIn,     ///< the key is absent or its value is not listed
  exists,    ///< the key is there
  notExists, ///< the key is absent
};

/// \brief One requirement of a selector.
struct SelectorRequirement
{
  std::string key;
  SelectorOperator op = SelectorOperator::exists;
  std::vector<std::string> values;
};

/// \brief Requirements that must all hold, as in Kubernetes label selectors.
struct Selector
{
  std::vector<SelectorRequirement> requirements;
};

/// \brief Why a text is not a selector.
struct SelectorFault
{
  std::size_t offset = 0; ///< byte of the text at which parsing stopped
  std::string expected;
};

/// \brief Parses `k=v`, `k==v`, `k!=v`, `k in (a,b)`, `k notin (a,b)`, `k` and
/// `!k`, joined by commas. An empty selector is a fault.
std::variant<Selector, SelectorFault>
parseSelector(std::string_view text);

/// \returns whether \a labels satisfy every requirement.
bool
matches(const Selector& selector, const Labels& labels);

/// \returns a text that parseSelector() reads as the same selector.
std::string
formatSelector(const Selector& selector);

/// \returns whether \a text may be a label key, with an optional DNS prefix.
bool
isLabelKey(std::string_view text);

/// \returns whether \a text may be a label value; empty is allowed.
bool
isLabelValue(std::string_view text);

}

#endif
