#ifndef BUCKTHORNWING_CONFIGURATION_DELTA_H
#define BUCKTHORNWING_CONFIGURATION_DELTA_H

#include <optional>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Computes what turns one configuration document into another.
///
/// Services, targets and instances are compared by name or id; a delta holds
/// the changed ones whole and the names of those that went.
/// \returns a JSON text, or nothing if either text is no such document
std::optional<std::string>
computeDelta(std::string_view before, std::string_view after);

/// \brief Applies a delta of computeDelta().
/// \returns the new document's text, or nothing if either text is malformed
std::optional<std::string>
applyDelta(std::string_view before, std::string_view delta);

}

#endif
