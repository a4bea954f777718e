#include "Selector.h"

#include <algorithm>
#include <optional>

namespace buckthornwing {
namespace internal {

/// \brief Longest label key name and value, as Kubernetes bounds them.
constexpr std::size_t kMostLabelBytes = 63;
constexpr std::size_t kMostPrefixBytes = 253;

bool
isAlphanumeric(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool
isWordCharacter(char c)
{
  return isAlphanumeric(c) || c == '-' || c == '_' || c == '.';
}

bool
isLabelName(std::string_view text)
{
  return !text.empty() && text.size() <= kMostLabelBytes &&
         isAlphanumeric(text.front()) && isAlphanumeric(text.back()) &&
         std::all_of(text.begin(), text.end(), isWordCharacter);
}

/// \brief A recursive-descent parser over one selector text.
class SelectorParser
{
public:
  explicit SelectorParser(std::string_view text)
    : text(text)
  {
  }

  std::variant<Selector, SelectorFault> parse()
  {
    Selector selector;
    do {
      SelectorRequirement requirement;
      if (!this->parseRequirement(requirement)) {
        return this->fault;
      }
      selector.requirements.push_back(std::move(requirement));
    } while (this->accept(','));
    this->skipSpaces();
    if (this->position != this->text.size()) {
      this->fail("',' or the end of the selector");
      return this->fault;
    }
    return selector;
  }

private:
  std::string_view text;
  std::size_t position = 0;
  SelectorFault fault;

  bool fail(std::string expected)
  {
    this->fault = SelectorFault{ this->position, std::move(expected) };
    return false;
  }

  void skipSpaces()
  {
    while (this->position < this->text.size() &&
           (this->text[this->position] == ' ' ||
            this->text[this->position] == '\t')) {
      ++this->position;
    }
  }

  bool accept(char c)
  {
    this->skipSpaces();
    if (this->position >= this->text.size() ||
        this->text[this->position] != c) {
      return false;
    }
    ++this->position;
    return true;
  }

  std::string_view word()
  {
    this->skipSpaces();
    const std::size_t start = this->position;
    while (this->position < this->text.size() &&
           (isWordCharacter(this->text[this->position]) ||
            this->text[this->position] == '/')) {
      ++this->position;
    }
    return this->text.substr(start, this->position - start);
  }

  bool parseKey(SelectorRequirement& requirement)
  {
    const std::string_view key = this->word();
    if (!isLabelKey(key)) {
      this->position -= key.size();
      return this->fail("a label key");
    }
    requirement.key = key;
    return true;
  }

  bool parseValue(SelectorRequirement& requirement)
  {
    const std::string_view value = this->word();
    if (!isLabelValue(value)) {
      this->position -= value.size();
      return this->fail("a label value");
    }
    requirement.values.emplace_back(value);
    return true;
  }

  bool parseValueList(SelectorRequirement& requirement)
  {
    if (!this->accept('(')) {
      return this->fail("'('");
    }
    do {
      if (!this->parseValue(requirement)) {
        return false;
      }
    } while (this->accept(','));
    return this->accept(')') || this->fail("',' or ')'");
  }

  bool parseRequirement(SelectorRequirement& requirement)
  {
    if (this->accept('!')) {
      requirement.op = SelectorOperator::notExists;
      return this->parseKey(requirement);
    }
    return this->parseKey(requirement) && this->parseOperator(requirement);
  }

  bool parseOperator(SelectorRequirement& requirement)
  {
    if (this->accept('!')) {
      requirement.op = SelectorOperator::notIn;
      return this->accept('=') ? this->parseValue(requirement)
                               : this->fail("'='");
    }
    if (this->accept('=')) {
      requirement.op = SelectorOperator::in;
      this->accept('=');
      return this->parseValue(requirement);
    }
    const std::size_t start = this->position;
    const std::string_view name = this->word();
    if (name.empty()) {
      requirement.op = SelectorOperator::exists;
      return true;
    }
    if (name != "in" && name != "notin") {
      this->position = start;
      return this->fail("'=', '==', '!=', 'in', 'notin' or ','");
    }
    requirement.op =
      name == "in" ? SelectorOperator::in : SelectorOperator::notIn;
    return this->parseValueList(requirement);
  }
};

bool
holds(const SelectorRequirement& requirement, const Labels& labels)
{
  const auto found = labels.find(requirement.key);
  const bool present = found != labels.end();
  const auto listed = [&] {
    return std::find(requirement.values.begin(),
                     requirement.values.end(),
                     found->second) != requirement.values.end();
  };
  switch (requirement.op) {
    case SelectorOperator::in:
      return present && listed();
    case SelectorOperator::notIn:
      return !present || !listed();
    case SelectorOperator::exists:
      return present;
    case SelectorOperator::notExists:
      return !present;
  }
  return false;
}

std::string
formatRequirement(const SelectorRequirement& requirement)
{
  if (requirement.op == SelectorOperator::exists) {
    return requirement.key;
  }
  if (requirement.op == SelectorOperator::notExists) {
    return "!" + requirement.key;
  }
  std::string text = requirement.key;
  text += requirement.op == SelectorOperator::in ? " in (" : " notin (";
  for (std::size_t i = 0; i < requirement.values.size(); ++i) {
    text += (i == 0 ? "" : ",") + requirement.values[i];
  }
  return text + ")";
}

}

bool
isLabelKey(std::string_view text)
{
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) {
    return internal::isLabelName(text);
  }
  const std::string_view prefix = text.substr(0, slash);
  const bool prefixGood =
    !prefix.empty() && prefix.size() <= internal::kMostPrefixBytes &&
    std::all_of(prefix.begin(), prefix.end(), internal::isWordCharacter);
  return prefixGood && internal::isLabelName(text.substr(slash + 1));
}

bool
isLabelValue(std::string_view text)
{
  return text.empty() || internal::isLabelName(text);
}

std::variant<Selector, SelectorFault>
parseSelector(std::string_view text)
{
  return internal::SelectorParser(text).parse();
}

bool
matches(const Selector& selector, const Labels& labels)
{
  return std::all_of(selector.requirements.begin(),
                     selector.requirements.end(),
                     [&](const SelectorRequirement& requirement) {
                       return internal::holds(requirement, labels);
                     });
}

std::string
formatSelector(const Selector& selector)
{
  std::string text;
  for (const SelectorRequirement& requirement : selector.requirements) {
    text += text.empty() ? "" : ",";
    text += internal::formatRequirement(requirement);
  }
  return text;
}

}
