#ifndef BUCKTHORNWING_ERROR_H
#define BUCKTHORNWING_ERROR_H

#include <string>

namespace buckthornwing {

/// \brief Why a step of a program failed; travels as a Boost.LEAF error.
struct Error
{
  std::string step;  ///< what was being done, such as "bind data socket"
  std::string peer;  ///< with whom or on what: an address, a file
  std::string cause; ///< what went wrong, for people
};

/// \returns one line for standard error.
inline std::string
formatError(const Error& error)
{
  return error.step + " (" + error.peer + "): " + error.cause;
}

}

#endif
