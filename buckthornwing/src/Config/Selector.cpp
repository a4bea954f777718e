#include "Selector.h"

#include <algorithm>
#include <optional>

namespace buckthornwing {
namespace internal {

/// \brief Maximum length of a label value and of the name part of a label key,
/// as in Kubernetes.
constexpr std::size_t kMaxLabelBytes = 63;
/// \brief Maximum length of the DNS prefix of a label key, as in Kubernetes.
constexpr std::size_t kMaxPrefixBytes = 253;

bool
isAlphanumeric(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool
isLabelCharacter(char c)
{
  return isAlphanumeric(c) || c == '-' || c == '_' || c == '.';
}

bool
isLabelName(std::string_view text)
{
  return !text.empty() && text.size() <= kMaxLabelBytes &&
         isAlphanumeric(text.front()) && isAlphanumeric(text.back()) &&
         std::all_of(text.begin(), text.end(), isLabelCharacter);
}

/// \brief Recursive-descent parser of a selector's text.
class SelectorParser
{
public:
  explicit SelectorParser(std::string_view text)
    : text(text)
  {
  }

  std::variant<Selector, SelectorError> parse()
  {
    Selector selector;
    do {
      SelectorRequirement requirement;
      if (!this->parseRequirement(requirement)) {
        return this->error;
      }
      selector.requirements.push_back(std::move(requirement));
    } while (this->accept(','));
    this->skipSpaces();
    if (this->position != this->text.size()) {
      this->fail("',' or the end of the selector");
      return this->error;
    }
    return selector;
  }

private:
  std::string_view text;
  std::size_t position = 0;
  SelectorError error;

  bool fail(std::string expected)
  {
    this->error = SelectorError{ this->position, std::move(expected) };
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

  std::string_view readToken()
  {
    this->skipSpaces();
    const std::size_t start = this->position;
    while (this->position < this->text.size() &&
           (isLabelCharacter(this->text[this->position]) ||
            this->text[this->position] == '/')) {
      ++this->position;
    }
    return this->text.substr(start, this->position - start);
  }

  bool parseKey(SelectorRequirement& requirement)
  {
    const std::string_view key = this->readToken();
    if (!isLabelKey(key)) {
      this->position -= key.size();
      return this->fail("a label key");
    }
    requirement.key = key;
    return true;
  }

  bool parseValue(SelectorRequirement& requirement)
  {
    const std::string_view value = this->readToken();
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
    const std::string_view name = this->readToken();
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
isSatisfied(const SelectorRequirement& requirement, const Labels& labels)
{
  const auto found = labels.find(requirement.key);
  const bool isPresent = found != labels.end();
  const auto isListed = [&] {
    return std::find(requirement.values.begin(),
                     requirement.values.end(),
                     found->second) != requirement.values.end();
  };
  switch (requirement.op) {
    case SelectorOperator::in:
      return isPresent && isListed();
    case SelectorOperator::notIn:
      return !isPresent || !isListed();
    case SelectorOperator::exists:
      return isPresent;
    case SelectorOperator::notExists:
      return !isPresent;
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
  const bool isPrefixValid =
    !prefix.empty() && prefix.size() <= internal::kMaxPrefixBytes &&
    std::all_of(prefix.begin(), prefix.end(), internal::isLabelCharacter);
  return isPrefixValid && internal::isLabelName(text.substr(slash + 1));
}

bool
isLabelValue(std::string_view text)
{
  return text.empty() || internal::isLabelName(text);
}

std::variant<Selector, SelectorError>
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
                       return internal::isSatisfied(requirement, labels);
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
