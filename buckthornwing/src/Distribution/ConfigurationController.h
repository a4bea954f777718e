#ifndef BUCKTHORNWING_CONFIGURATION_CONTROLLER_H
#define BUCKTHORNWING_CONFIGURATION_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "../Config/ParseConfiguration.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief Outcome of processing a configuration document.
enum class AdoptOutcome : std::uint8_t
{
  adopted,
  alreadyKnown, ///< its revision is not above the adopted one
  refused,      ///< malformed
};

/// \brief Adopts configurations from the platform or from peers.
///
/// The revision never decreases. While a reachable peer has a higher one, this
/// instance requests it, and receives a delta if the peer still has this
/// instance's revision as a base. A revision is committed once every reachable
/// instance has it, at the latest a fixed time after its adoption.
class ConfigurationController
{
public:
  explicit ConfigurationController(Blackboard& board);

  /// \brief Parses a configuration document and adopts it if its revision is
  /// higher than the adopted one.
  AdoptOutcome onDocument(std::string_view text, MilliTime now);

  /// \brief Records the time of a response of the platform, whether or not it
  /// held a new revision.
  void onPlatformContact(MilliTime now);

  /// \brief Sends a peer parts of the newest revision, as a delta if possible.
  void onRequest(MemberIndex from,
                 const ConfigurationRequest& request,
                 MilliTime now);

  /// \brief Stores a part; adopts the document once all parts have arrived.
  void onPart(MemberIndex from, const ConfigurationPart& part, MilliTime now);

  /// \brief Commits the adopted revision if due, and requests a newer one from
  /// a peer that has it.
  void tick(MilliTime now);

  /// \returns whether this instance should watch the platform itself.
  ///
  /// It should if fewer than two other owners of its zone have a lower hash of
  /// their id, if it has no configuration yet, or if it had no contact with the
  /// platform for some time.
  bool shouldWatchPlatform(MilliTime now) const;

  /// \returns the problems of the last document that was adopted or refused,
  /// for the status report.
  const Problems& lastProblems() const { return this->problems; }

  /// \returns the instances that the adopted configuration lists.
  std::span<const InstanceConfig> listedInstances() const
  {
    return this->configuration.instances;
  }

  const Configuration& current() const { return this->configuration; }

private:
  /// \brief An adopted document; base of deltas.
  struct Version
  {
    std::uint64_t revision = 0;
    std::string text;
  };

  /// \brief A document or delta that arrives in parts.
  struct Transfer
  {
    std::uint64_t base = 0; ///< revision that a delta applies to; 0 if none
    std::uint64_t revision = 0;
    std::uint32_t total = 0; ///< size of the whole text in bytes
    std::map<std::uint32_t, std::string> parts; ///< by offset in bytes
  };

  Blackboard& board;
  Configuration configuration;
  std::deque<Version> history; ///< ordered by revision, newest last
  Transfer transfer;
  Problems problems;
  MilliTime lastRequestAt{ -1 }; ///< to a peer, for a newer revision

  void adopt(ParsedConfiguration parsed, std::string_view text, MilliTime now);
  void reportProblems(const Problems& found, bool fatal);
  const Version* findVersion(std::uint64_t revision) const;
  void checkCommit(MilliTime now);
  void requestNewerRevision(MilliTime now);
  void finishTransfer(MilliTime now);
  /// \returns the size in bytes of the transfer's prefix without gaps.
  std::uint32_t receivedBytes() const;
};

}

#endif
