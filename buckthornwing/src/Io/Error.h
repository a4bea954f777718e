#ifndef BUCKTHORNWING_ERROR_H
#define BUCKTHORNWING_ERROR_H

#include <string>

namespace buckthornwing {

/// \brief A failed operation, passed on as a Boost.LEAF error object.
struct Error
{
  std::string step;  ///< the operation, such as "bind data socket"
  std::string peer;  ///< the address or file that it was applied to
  std::string cause; ///< human-readable description of the failure
};

/// \returns "step (peer): cause", for a line on standard error.
inline std::string
formatError(const Error& error)
{
  return error.step + " (" + error.peer + "): " + error.cause;
}

}

#endif
