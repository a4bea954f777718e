#ifndef BUCKTHORNWING_RUN_MAIN_H
#define BUCKTHORNWING_RUN_MAIN_H

#include "Error.h"

#include <boost/leaf.hpp>
#include <iostream>

namespace buckthornwing {

/// \brief Exit status of wrong usage, settings or surroundings.
inline constexpr int kUsageExit = 2;

/// \brief Runs a program's body and prints the error that it fails with.
/// \param body returns boost::leaf::result<int>, the exit status
/// \returns the exit status
template<typename Body>
int
runMain(const char* program, Body body)
{
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<int> { return body(); },
    [&](const Error& error) {
      std::cerr << program << ": " << formatError(error) << '\n';
      return kUsageExit;
    },
    [&] {
      std::cerr << program << ": failed for an unknown reason\n";
      return kUsageExit;
    });
}

}

#endif
