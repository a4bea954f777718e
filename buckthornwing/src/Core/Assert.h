#ifndef BUCKTHORNWING_ASSERT_H
#define BUCKTHORNWING_ASSERT_H

#include <cstdio>
#include <cstdlib>

/// \brief Checks a caller's obligation at an API border, in every build type.
// A macro, because the message needs the text of the condition.
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
