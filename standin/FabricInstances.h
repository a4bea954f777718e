#ifndef BUCKTHORNWING_STANDIN_FABRIC_INSTANCES_H
#define BUCKTHORNWING_STANDIN_FABRIC_INSTANCES_H

#include <Core>
#include <src/Io/DaemonSettings.h>
#include <src/Io/Error.h>
#include <src/Io/HttpClient.h>

#include <string>
#include <vector>

namespace buckthornwing::standin {

/// \brief An instance as the fabric sees it.
struct FabricInstance
{
  std::string id;
  Endpoint data;
  Endpoint operators;
  bool healthy = false;
  bool asked = false; ///< a health check is under way
};

/// \brief The instances that the fabric knows, from a file that may change,
/// with the health that they report.
class FabricInstances
{
public:
  FabricInstances(boost::asio::io_context& context, std::string file);

  /// \brief Reads the file again if it changed.
  void read();

  /// \brief Asks every instance for its health.
  void check();

  std::size_t healthyCount() const;

  /// \returns a random healthy instance, or nothing.
  const FabricInstance* pick(Random& random) const;

private:
  boost::asio::io_context& context;
  std::string file;
  std::string text;
  std::vector<FabricInstance> instances;

  void noteHealth(const std::string& id, bool healthy);
};

}

#endif
