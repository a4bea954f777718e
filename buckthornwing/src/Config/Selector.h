#ifndef BUCKTHORNWING_SELECTOR_H
#define BUCKTHORNWING_SELECTOR_H

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornwing {

/// \brief Labels of a backend server: values by key.
using Labels = std::map<std::string, std::string, std::less<>>;

/// \brief Condition of a requirement on a label.
enum class SelectorOperator
{
  in,        ///< the key is present and its value is listed
  notIn,     ///< the key is absent or its value is not listed
  exists,    ///< the key is present
  notExists, ///< the key is absent
};

/// \brief One requirement of a selector: a condition on the label of a key.
struct SelectorRequirement
{
  std::string key;
  SelectorOperator op = SelectorOperator::exists;
  std::vector<std::string> values; ///< used by \c in and \c notIn only
};

/// \brief Kubernetes label selector: all its requirements must be satisfied.
struct Selector
{
  std::vector<SelectorRequirement> requirements;
};

/// \brief Syntax error in the text of a selector.
struct SelectorError
{
  std::size_t offset = 0; ///< of the byte at which parsing stopped
  std::string expected;   ///< description of what was expected there
};

/// \brief Parses the text of a selector: requirements of the forms `k=v`,
/// `k==v`, `k!=v`, `k in (a,b)`, `k notin (a,b)`, `k` and `!k`, separated by
/// commas.
/// \returns the selector, or the first syntax error; an empty text is one
std::variant<Selector, SelectorError>
parseSelector(std::string_view text);

/// \returns whether \a labels satisfy every requirement.
bool
matches(const Selector& selector, const Labels& labels);

/// \returns the text of a selector; parseSelector() reads it as an equal one.
std::string
formatSelector(const Selector& selector);

/// \returns whether \a text is a valid label key, with an optional DNS prefix
/// that ends with a slash.
bool
isLabelKey(std::string_view text);

/// \returns whether \a text is a valid label value, which may be empty.
bool
isLabelValue(std::string_view text);

}

#endif
