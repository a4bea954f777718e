#ifndef BUCKTHORNWING_PROBLEM_H
#define BUCKTHORNWING_PROBLEM_H

#include <string>
#include <vector>

namespace buckthornwing {

/// \brief One error in a JSON document.
struct Problem
{
  std::string path;     ///< JSON path, such as "$.services[0].selector"
  std::string expected; ///< what was expected there, and what was found
};

/// \brief All problems of a document, in the order in which they were found.
using Problems = std::vector<Problem>;

}

#endif
