#ifndef BUCKTHORNWING_PARSE_CONFIGURATION_H
#define BUCKTHORNWING_PARSE_CONFIGURATION_H

#include "Configuration.h"
#include "Problem.h"

#include <string_view>

namespace buckthornwing {

/// \brief Largest document that is read, in bytes; the configuration service
/// holds values up to a megabyte.
inline constexpr std::size_t kMostDocumentBytes = 1024UL * 1024;

/// \brief What a document's text came to.
struct ParsedConfiguration
{
  Configuration configuration; ///< to be used only if \c fatal is empty
  Problems fatal;              ///< the document is refused whole
  Problems perService;         ///< these services keep their last good selector
};

/// \brief Parses a configuration document and gathers every problem.
///
/// Two services that claim one (address, protocol, port), ids that stand
/// twice, unknown fields and values out of bounds are fatal. A selector that
/// can't be parsed is not: it holds back its own service alone.
ParsedConfiguration
parseConfiguration(std::string_view text);

/// \brief Parses the platform's list of instances, a JSON array.
/// \returns the instances, none if any is malformed
std::vector<InstanceConfig>
parseInstanceList(std::string_view text);

}

#endif
