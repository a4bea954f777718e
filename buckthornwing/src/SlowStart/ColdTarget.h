#ifndef BUCKTHORNWING_COLD_TARGET_H
#define BUCKTHORNWING_COLD_TARGET_H

#include "../View/TargetRecord.h"
#include "ActiveMember.h"

namespace buckthornwing {

/// \brief A cold target whose service limits the requests that it gets.
struct ColdTarget
{
  TargetKey key;
  ZoneKey zone = 0;
  /// New flows that all instances together may place on it in any second.
  double allowance = 0;

  bool operator==(const ColdTarget&) const = default;
};

}

#endif
