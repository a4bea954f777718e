#ifndef BUCKTHORNWING_ASSERT_H
#define BUCKTHORNWING_ASSERT_H

#include <cstdio>
#include <cstdlib>

/// \brief Checks a precondition of a public function in every build type;
/// prints the condition and aborts if it does not hold.
// This is a macro because the message holds the condition's text.
#define BUCKTHORNWING_REQUIRE(condition)                                       \
  do {                                                                         \
    if (!(condition)) {                                                        \
      std::fprintf(stderr,                                                     \
                   "%s:%d: requirement failed: %s\n",                          \
                   __FILE__,                                                   \
                   __LINE__,                                                   \
                   #condition);                                                \
      std::abort();                                                            \
    }                                                                          \
  } while (false)

#endif
