#ifndef BUCKTHORNWING_EMULATOR_ZONE_EVACUATIONS_H
#define BUCKTHORNWING_EMULATOR_ZONE_EVACUATIONS_H

#include "Guarantees.h"

#include <standin/StoreStandin.h>

#include <map>
#include <optional>
#include <string>

namespace buckthornwing::emulator {

/// \brief The operator's evacuations of zones in the store, and the times at
/// which the store acknowledged them.
class ZoneEvacuations
{
public:
  ZoneEvacuations(standin::StoreStandin& store, Guarantees& guarantees)
    : store(store)
    , guarantees(guarantees)
  {
  }

  /// \brief Writes the evacuation of a zone.
  void evacuate(const std::string& zone);
  /// \brief Ends the evacuation of a zone; no effect if it is not evacuated.
  void withdraw(const std::string& zone);
  /// \brief Writes the evacuations again, and removes those that were
  /// withdrawn, after the store came back from an older copy.
  void writeAll();

  /// \returns when the store acknowledged the evacuation of a zone; nothing if
  /// it is not evacuated.
  std::optional<MilliTime> since(const std::string& zone) const;
  /// \returns whether a zone is evacuated, or was until less than a time ago.
  bool wasEvacuatedWithin(const std::string& zone, MilliDuration time) const;

private:
  /// \brief The last evacuation of a zone.
  struct Evacuation
  {
    MilliTime acknowledgedAt{};
    std::optional<MilliTime> withdrawnAt;
  };

  standin::StoreStandin& store;
  Guarantees& guarantees;
  std::map<std::string, Evacuation> evacuations; ///< by zone
};

}

#endif
