#ifndef BUCKTHORNWING_STORE_DATA_H
#define BUCKTHORNWING_STORE_DATA_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornwing::standin {

/// \brief Response of the store without its headers.
struct StoreAnswer
{
  unsigned status = 200; ///< HTTP status
  std::string body;      ///< JSON
  bool hasMore = false;  ///< a page of a listing that is followed by another
};

/// \brief Data of the platform's metadata store: keys that have revisions,
/// paged listings, and a history with every write, which can be dropped. It may
/// be replaced by an older copy of itself.
class StoreData
{
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t createdRevision = 0;
  };

  /// \brief A write of a key, or its removal.
  struct Change
  {
    std::string key;
    std::uint64_t revision = 0;
    std::optional<std::string> value; ///< nothing if the key was removed
  };

public:
  /// \brief The data at one time.
  struct Copy
  {
    std::map<std::string, Item> items;
    std::deque<Change> history;   ///< the writes that are kept, oldest first
    std::size_t historyBytes = 0; ///< of their values
    std::uint64_t revision = 1;
    std::uint64_t droppedRevision = 0; ///< watches from before it get 410
  };

  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);

  /// \brief Drops the history of changes: a watch that continues from an
  /// earlier revision is answered with status 410.
  void dropHistory();

  /// \returns the present data.
  const Copy& copy() const { return this->current; }
  /// \brief Replaces the data by an older copy: revisions after the copy's are
  /// given out again, and the era increases.
  void restore(const Copy& from);

  /// \returns the value of a key; nothing if there is none.
  std::optional<std::string> find(const std::string& key) const;
  /// \returns the keys with a prefix.
  std::vector<std::string> keys(const std::string& prefix) const;
  std::uint64_t revision() const { return this->current.revision; }
  std::uint64_t era() const { return this->currentEra; }

  /// \returns a page of the items whose keys have a prefix.
  /// \param after last key of the page before; empty for the first page
  StoreAnswer list(const std::string& prefix,
                   const std::string& after,
                   std::size_t pageItems) const;

  /// \returns all writes after a revision, also several of one key; nothing if
  /// there are none, unless \a isExpired
  std::optional<StoreAnswer> watch(const std::string& prefix,
                                   std::uint64_t after,
                                   bool isExpired) const;

private:
  Copy current;
  std::uint64_t currentEra = 1;

  void record(Change change);
};

}

#endif
