#ifndef REVIEW_WORLD_HH
#define REVIEW_WORLD_HH

#include "Callers.hh"
#include "Fleet.hh"
#include "PeerLinks.hh"
#include "Store.hh"
#include "Target.hh"

#include <memory>
#include <set>

namespace review {

/// \brief Bounds of a site, in ms.
struct Bounds
{
  std::int64_t stable = 0;
  std::int64_t drain = 0;
  std::int64_t configApply = 0;
  std::int64_t maxStretch = 0;
};

/// \brief Bounds of the site himalflow-lb.
inline constexpr Bounds kSmallSite{ 4000, 3000, 3000, 12000 };
/// \brief Bounds of the site himalflow-lb-large.
inline constexpr Bounds kLargeSite{ 6000, 6000, 6000, 20000 };
/// \brief loss_slack_ms of both sites.
inline constexpr std::int64_t kLossSlackMs = 200;

struct RouteEntry
{
  std::string name;
  std::uint16_t port = 0;
  std::string service;
  bool isIdempotent = false;
};

/// \brief A small deployment on loopback: machines, store, targets, callers.
class World
{
public:
  /// \param folder gets record.txt
  /// \param scratch temporary folder for settings and logs
  World(const std::string& program,
        const std::string& repository,
        const std::string& folder,
        const std::string& scratch,
        Store::Limits limits);

  static constexpr const char* kRouteHost = "127.198.18.1";

  EventLoop loop;
  Record record;
  Ports ports;
  std::string storeAddress;
  std::unique_ptr<Store> store;
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<Callers> callers;
  PeerLinks links;
  std::vector<std::unique_ptr<Target>> targets;
  std::vector<Run> runs;
  std::vector<Attempt> attempts;

  /// \brief Adds a machine whose ip ends with the given numbers.
  /// \param isProxied the others reach it through a proxy of \a links
  void addMachine(const std::string& zone,
                  int zoneNumber,
                  int number,
                  bool isProxied = false);
  /// \param idDigits hexadecimal digits of the target's id
  Target& addTarget(const std::string& service,
                    const std::string& zone,
                    int zoneNumber,
                    const std::string& idDigits,
                    std::int64_t warmupMs);
  RequestKind requestKind(const std::string& name,
                          std::uint16_t port,
                          std::int64_t periodMs,
                          std::int64_t firstAt,
                          std::int64_t lastAt) const;
  std::string configuration(std::uint64_t version,
                            const std::vector<RouteEntry>& routes,
                            std::int64_t timeoutMs) const;

  /// Time between the first machine's start and that of the others.
  std::int64_t startSpreadMs = 0;

  /// \brief Runs until all machines are ready, then calls the scenario with the
  /// time at which traffic starts.
  /// \returns the scenario's verdict, or 2 if the machines don't start
  int play(const std::function<void(std::int64_t start)>& scenario);
  void end(int verdict)
  {
    this->verdict = verdict;
    this->loop.stop();
  }

private:
  int verdict = 2;
  std::map<std::string, int> targetCounts;

  void waitForMachines(const std::function<void(std::int64_t start)>& scenario);
};

/// \brief The cases. Each returns the exit code of its script.
int
runDrainCase(World& world, bool trouble);
int
runConfigCase(World& world, bool trouble);
int
runPageCase(World& world, bool trouble);
int
runOneWayCase(World& world, bool trouble);
int
runResetCase(World& world, bool trouble);

}

#endif
