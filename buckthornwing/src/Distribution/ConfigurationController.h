#ifndef BUCKTHORNWING_CONFIGURATION_CONTROLLER_H
#define BUCKTHORNWING_CONFIGURATION_CONTROLLER_H

#include "../Board/Blackboard.h"
#include "../Config/ParseConfiguration.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace buckthornwing {

/// \brief What became of a document.
enum class AdoptOutcome : std::uint8_t
{
  adopted,
  alreadyKnown, ///< the same or a lower revision
  refused,      ///< malformed
};

/// \brief Adopts configurations, from the platform or from peers.
///
/// The revision never falls. While a peer has a higher one, this instance
/// asks it for the difference. A revision is committed once every reachable
/// instance has it, or a bounded time after it was adopted.
class ConfigurationController
{
public:
  explicit ConfigurationController(Blackboard& board);

  /// \brief Takes a document's text.
  AdoptOutcome onDocument(std::string_view text, MilliTime now);

  /// \brief Notes that the platform answered, with or without news.
  void onPlatformContact(MilliTime now);

  void onRequest(MemberIndex from,
                 const ConfigurationRequest& request,
                 MilliTime now);

  void onPart(MemberIndex from, const ConfigurationPart& part, MilliTime now);

  /// \brief Commits revisions and asks peers that have newer ones.
  void tick(MilliTime now);

  /// \returns whether this instance should watch the platform itself: the
  /// first two instances of each zone do, and any that hears of no platform.
  bool shouldWatchPlatform(MilliTime now) const;

  /// \returns the problems of the last document with any, for status.
  const Problems& lastProblems() const { return this->problems; }

  /// \returns the instances that the adopted configuration lists.
  std::span<const InstanceConfig> listedInstances() const
  {
    return this->configuration.instances;
  }

  const Configuration& current() const { return this->configuration; }

private:
  /// \brief A document as it was adopted.
  struct Version
  {
    std::uint64_t revision = 0;
    std::string text;
  };

  /// \brief A text that arrives in parts.
  struct Transfer
  {
    std::uint64_t base = 0;
    std::uint64_t revision = 0;
    std::uint32_t total = 0;
    std::map<std::uint32_t, std::string> parts;
  };

  Blackboard& board;
  Configuration configuration;
  std::deque<Version> history; ///< the newest last
  Transfer transfer;
  Problems problems;
  MilliTime askedAt{ -1 };

  void adopt(ParsedConfiguration parsed, std::string_view text, MilliTime now);
  void reportProblems(const Problems& found, bool fatal);
  const Version* findVersion(std::uint64_t revision) const;
  void checkCommit(MilliTime now);
  void askPeers(MilliTime now);
  void finishTransfer(MilliTime now);
  std::uint32_t receivedBytes() const;
};

}

#endif
