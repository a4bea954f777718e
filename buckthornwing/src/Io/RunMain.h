#ifndef BUCKTHORNWING_RUN_MAIN_H
#define BUCKTHORNWING_RUN_MAIN_H

#include "Error.h"

#include <boost/leaf.hpp>
#include <iostream>

namespace buckthornwing {

/// \brief Exit status of a program that failed because of its arguments,
/// settings or environment.
inline constexpr int kFailureExit = 2;

/// \brief Runs a program's main function and prints its error, if any, to
/// standard error.
/// \param program name that precedes the error
/// \param body returns the exit status as boost::leaf::result<int>
/// \returns the exit status; kFailureExit after an error.
template<typename Body>
int
runMain(const char* program, Body body)
{
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<int> { return body(); },
    [&](const Error& error) {
      std::cerr << program << ": " << formatError(error) << '\n';
      return kFailureExit;
    },
    [&] {
      std::cerr << program << ": failed for an unknown reason\n";
      return kFailureExit;
    });
}

}

#endif
