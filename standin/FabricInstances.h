#ifndef BUCKTHORNWING_STANDIN_FABRIC_INSTANCES_H
#define BUCKTHORNWING_STANDIN_FABRIC_INSTANCES_H

#include <Core>
#include <src/Io/DaemonSettings.h>
#include <src/Io/Error.h>
#include <src/Io/HttpClient.h>

#include <string>
#include <vector>

namespace buckthornwing::standin {

/// \brief An instance as the fabric knows it.
struct FabricInstance
{
  std::string id;
  Endpoint data;      ///< UDP, receives packets
  Endpoint operators; ///< HTTP, answers health checks
  bool healthy = false;
  bool checkPending = false; ///< a health check has not finished yet
};

/// \brief The instances to which the fabric may send packets, with the result
/// of their last health check. They are read from a file that may change.
class FabricInstances
{
public:
  FabricInstances(boost::asio::io_context& context, std::string file);

  /// \brief Replaces the list of instances if the content of the file changed.
  /// Every instance of a new list is unhealthy until its first health check.
  void reload();

  /// \brief Starts a health check of every instance without a pending one.
  void checkHealth();

  std::size_t healthyCount() const;

  /// \returns a random healthy instance, or null if there is none.
  const FabricInstance* pick(Random& random) const;

private:
  boost::asio::io_context& context;
  std::string file;
  std::string content; ///< of the file when it was last read
  std::vector<FabricInstance> instances;

  void setHealth(const std::string& id, bool healthy);
};

}

#endif
