#ifndef BUCKTHORNWING_CONFIGURATION_DELTA_H
#define BUCKTHORNWING_CONFIGURATION_DELTA_H

#include <optional>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Computes the difference between two configuration documents.
///
/// Services, targets and instances are matched by name or id. A delta holds the
/// whole of each added or changed element and the names of the removed ones.
/// \returns the delta as JSON text, or nothing if either text is not a JSON
/// object
std::optional<std::string>
computeDelta(std::string_view before, std::string_view after);

/// \brief Applies a delta that computeDelta() returned.
/// \param before the document that the delta was computed from
/// \returns the new document as JSON text, or nothing if either text is
/// malformed
std::optional<std::string>
applyDelta(std::string_view before, std::string_view delta);

}

#endif
