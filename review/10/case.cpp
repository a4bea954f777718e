// The settings files change, and the processes are restarted in turn.
#include "../stand-ins-2/Platform.h"

using namespace standin;

namespace {

constexpr const char* kNewGrace = "5.5"; ///< bound grace_s, a fraction
constexpr double kRestartDelay = 0.5;
constexpr double kRecover = 12.0; ///< bound recover_s

const Address route{ makeIp(198, 18, 0, 1), 443 };

}

int
main()
{
  Deployment deployment("review/10/record.txt");
  for (const char* id : { "front-ktm-a-1", "front-ktm-b-1", "front-lal-c-1" }) {
    deployment.addInstance(id, std::string(id).substr(6, 5));
    deployment.addTarget("dispatch", std::string(id).substr(6, 5));
  }
  deployment.store.put(
    "op/config",
    configuration(7, { { "r-feed", route, "dispatch" } }, { "dispatch" }));
  deployment.targets->start();
  deployment.startAll(true);
  deployment.awaitReady(20);
  sleepFor(2);
  if (withTrouble()) {
    deployment.grace = kNewGrace;
  }
  deployment.record.line("the settings files have grace_s %s now",
                         deployment.grace.c_str());
  for (const Instance& instance : deployment.instances) {
    deployment.writeSettings(instance.index, false);
    deployment.signalTo(instance.index, SIGHUP, "SIGHUP");
  }
  sleepFor(1);
  std::size_t down = 0;
  std::size_t unanswered = 0;
  for (const Instance& instance : deployment.instances) {
    deployment.signalTo(instance.index, SIGTERM, "SIGTERM");
    deployment.awaitExit(instance.index);
    const double until = seconds() + kRecover;
    std::size_t starts = 0;
    while (!deployment.isReady(instance) && seconds() < until) {
      if (deployment.hasEnded(instance.index)) {
        sleepFor(kRestartDelay);
        deployment.start(instance.index, false);
        ++starts;
      }
      sleepFor(0.1);
    }
    const bool isUp = deployment.isReady(instance);
    const Outcome outcome = deployment.callers->request(
      instance, route, "after-restart-" + instance.id);
    deployment.record.line("%s was started %zu times and is %s",
                           instance.id.c_str(),
                           starts,
                           isUp ? "ready" : "not ready");
    down += isUp ? 0 : 1;
    unanswered += outcome.kind == Outcome::Kind::answered ? 0 : 1;
  }
  deployment.record.line(
    "%zu of %zu processes did not start again; %zu requests "
    "were not answered",
    down,
    deployment.instances.size(),
    unanswered);
  deployment.end(down > 0 ? 1 : 0);
}
