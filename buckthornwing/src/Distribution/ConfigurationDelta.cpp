#include "ConfigurationDelta.h"

#include <array>
#include <boost/json.hpp>
#include <map>

namespace buckthornwing {
namespace internal {

namespace json = boost::json;

/// \brief An array of a document and the field that identifies its elements.
struct Collection
{
  const char* array;
  const char* key;
};

constexpr std::array<Collection, 3> kCollections{
  { { "services", "name" }, { "targets", "id" }, { "instances", "id" } }
};

std::optional<json::object>
parseObject(std::string_view text)
{
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

/// \returns the elements of a document's array by name or id; those without one
/// are left out.
std::map<std::string, json::value>
elementsOf(const json::object& document, const Collection& collection)
{
  std::map<std::string, json::value> elements;
  const json::value* array = document.if_contains(collection.array);
  if (array == nullptr || !array->is_array()) {
    return elements;
  }
  for (const json::value& element : array->get_array()) {
    const json::object* object = element.if_object();
    const json::value* name =
      object == nullptr ? nullptr : object->if_contains(collection.key);
    if (name != nullptr && name->is_string()) {
      elements.emplace(std::string(name->get_string()), element);
    }
  }
  return elements;
}

/// \returns the added and changed elements and the names of the removed ones.
json::object
compareCollection(const json::object& before,
                  const json::object& after,
                  const Collection& collection)
{
  const auto old = elementsOf(before, collection);
  const auto next = elementsOf(after, collection);
  json::array changed;
  json::array removed;
  for (const auto& [name, element] : next) {
    const auto found = old.find(name);
    if (found == old.end() || found->second != element) {
      changed.push_back(element);
    }
  }
  for (const auto& [name, element] : old) {
    if (!next.contains(name)) {
      removed.emplace_back(name);
    }
  }
  return { { "set", std::move(changed) }, { "remove", std::move(removed) } };
}

json::array
applyToCollection(const json::object& before,
                  const json::object& change,
                  const Collection& collection)
{
  auto elements = elementsOf(before, collection);
  if (const json::value* removed = change.if_contains("remove")) {
    for (const json::value& name : removed->as_array()) {
      elements.erase(std::string(name.as_string()));
    }
  }
  if (const json::value* changed = change.if_contains("set")) {
    for (const json::value& element : changed->as_array()) {
      const json::value& name = element.as_object().at(collection.key);
      elements[std::string(name.as_string())] = element;
    }
  }
  json::array array;
  for (const auto& [name, element] : elements) {
    array.push_back(element);
  }
  return array;
}

}

std::optional<std::string>
computeDelta(std::string_view before, std::string_view after)
{
  const auto old = internal::parseObject(before);
  const auto next = internal::parseObject(after);
  if (!old || !next) {
    return std::nullopt;
  }
  boost::json::object delta;
  for (const auto& collection : internal::kCollections) {
    delta[collection.array] =
      internal::compareCollection(*old, *next, collection);
  }
  for (const char* field : { "revision", "hash_seed" }) {
    if (const auto* value = next->if_contains(field)) {
      delta[field] = *value;
    }
  }
  return boost::json::serialize(delta);
}

std::optional<std::string>
applyDelta(std::string_view before, std::string_view delta)
{
  const auto old = internal::parseObject(before);
  const auto change = internal::parseObject(delta);
  if (!old || !change) {
    return std::nullopt;
  }
  boost::json::object document;
  try {
    for (const char* field : { "revision", "hash_seed" }) {
      document[field] = change->at(field);
    }
    for (const auto& collection : internal::kCollections) {
      document[collection.array] = internal::applyToCollection(
        *old, change->at(collection.array).as_object(), collection);
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return boost::json::serialize(document);
}

}
