#ifndef BUCKTHORNWING_PARSE_CONFIGURATION_H
#define BUCKTHORNWING_PARSE_CONFIGURATION_H

#include "Configuration.h"
#include "Problem.h"

#include <string_view>

namespace buckthornwing {

/// \brief Maximum size of a document in bytes; the configuration service
/// stores values of up to 1 MiB.
inline constexpr std::size_t kMaxDocumentBytes = 1024UL * 1024;

/// \brief Result of parsing a configuration document.
struct ParsedConfiguration
{
  Configuration configuration; ///< valid only if \c fatalProblems is empty
  Problems fatalProblems;      ///< if not empty, the document is rejected
  /// Invalid selectors; these services keep their last valid selector.
  Problems selectorProblems;
};

/// \brief Parses a configuration document and collects all of its problems.
///
/// Fatal problems include an (address, protocol, port) that belongs to two
/// services, duplicate ids, unknown fields and values out of range. An invalid
/// selector is not fatal: only its own service is affected and keeps its last
/// valid selector.
ParsedConfiguration
parseConfiguration(std::string_view text);

/// \brief Parses the platform's list of instances, a JSON array.
/// \returns the instances; none if the array or any element is malformed
std::vector<InstanceConfig>
parseInstanceList(std::string_view text);

}

#endif
