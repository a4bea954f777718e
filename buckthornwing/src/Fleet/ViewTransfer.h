#ifndef BUCKTHORNWING_VIEW_TRANSFER_H
#define BUCKTHORNWING_VIEW_TRANSFER_H

#include "FleetMessage.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornwing {

/// \brief Bytes of an encoded update in one message.
inline constexpr std::size_t kViewPartBytes = 8000;

/// \returns an encoded update cut into parts.
std::vector<ViewPart>
cutIntoParts(const std::string& encoded, std::uint64_t transfer);

/// \brief Puts updates together from their parts, one for each sender.
class ViewTransfers
{
public:
  /// \returns the encoded update once it is complete.
  std::optional<std::string> add(const Endpoint& sender, const ViewPart& part);

private:
  /// \brief No view is larger; a sender that claims so is not believed.
  static constexpr std::size_t kMostBytes = 8UL * 1024 * 1024;
  static constexpr std::size_t kMostSenders = 64;

  struct Transfer
  {
    std::uint64_t id = 0;
    std::string bytes;
    std::set<std::uint32_t> offsets; ///< of the parts that arrived
    std::size_t received = 0;
  };

  std::map<Endpoint, Transfer> bySender;
};

}

#endif
