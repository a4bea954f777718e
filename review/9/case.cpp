// The reader of the store loses power right after it has read two
// configurations in one answer.
#include "../stand-ins-2/Platform.h"

using namespace standin;

namespace {

/// Messages that the reader sends to the others at once when it has read; a
/// heartbeat of its own time goes to three at the most.
constexpr std::size_t kMessages = 4;
constexpr double kLossDelay = 0.002;   ///< from these messages to the loss
constexpr double kMaxLossDelay = 0.15; ///< from the answer, if there are less
/// The reader may have sent them before the store's end of the call.
constexpr double kAnswerTime = 0.003;
constexpr double kConfigApply = 3.0; ///< bound config_apply_ms
constexpr double kSlack = 0.25;      ///< of this program's own clock
constexpr double kWatched = 25.0;    ///< time after the bound that is judged

const Address kept{ makeIp(198, 18, 0, 1), 443 };
const Address dropped{ makeIp(198, 18, 0, 2), 443 };
const Address added{ makeIp(198, 18, 0, 3), 443 };

}

int
main()
{
  Deployment deployment("review/9/record.txt");
  for (const char* id : { "front-ktm-a-1",
                          "front-ktm-b-1",
                          "front-lal-c-1",
                          "front-ktm-a-2",
                          "front-ktm-b-2",
                          "front-lal-c-2",
                          "front-ktm-a-3",
                          "front-ktm-b-3" }) {
    deployment.addInstance(id, std::string(id).substr(6, 5));
  }
  deployment.delayLinks(0.0002, 0.0054); // As on the site's sheet.
  const std::vector<std::string> services{ "dispatch", "certs" };
  for (const char* zone : { "ktm-a", "ktm-b", "lal-c" }) {
    deployment.addTarget("dispatch", zone);
    deployment.addTarget("certs", zone);
  }
  const std::vector<Route> before{ { "r-kept", kept, "dispatch" },
                                   { "r-dropped", dropped, "dispatch" } };
  const std::vector<Route> after{ { "r-kept", kept, "dispatch" },
                                  { "r-added", added, "dispatch" } };
  deployment.store.put("op/config", configuration(7, before, services));
  std::atomic<bool> isArmed = false;
  std::atomic<double> answeredAt = 0;
  std::atomic<std::size_t> answered = 0;
  deployment.store.onAnswer = [&](std::size_t reader, const std::string& line) {
    if (isArmed.exchange(false)) {
      answered = reader;
      answeredAt = seconds();
    }
    deployment.record.line(
      "store: %s %s", deployment.instances[reader].id.c_str(), line.c_str());
  };
  deployment.targets->start();
  // Not the first start of the whole system: it had lost power before.
  deployment.startAll(false);
  deployment.awaitReady(20);
  sleepFor(6);
  deployment.findReader(3);
  for (const Instance& instance : deployment.instances) {
    const Outcome outcome =
      deployment.callers->request(instance, dropped, "before-" + instance.id);
    if (outcome.kind != Outcome::Kind::answered) {
      deployment.record.line("not served before the disruption");
      deployment.end(2);
    }
  }

  deployment.store.cutWatches("op/");
  deployment.record.line("the store cuts the watches of op/");
  sleepFor(0.02);
  isArmed = true;
  deployment.store.put("op/config", configuration(10, before, services));
  deployment.store.put("op/config", configuration(13, after, services));
  const double acknowledged = seconds();
  deployment.record.line("configurations 10 and 13 acknowledged; 13 is without "
                         "r-dropped and with r-added");
  while (answeredAt == 0 && seconds() < acknowledged + 3) {
    sleepFor(0.0005);
  }
  if (answeredAt == 0) {
    deployment.record.line("nobody has read the configurations");
    deployment.end(2);
  }
  const std::size_t reader = answered;
  if (withTrouble()) {
    const Instance& lost = deployment.instances[reader];
    while (seconds() < answeredAt + kMaxLossDelay &&
           deployment.links->countSentAfter(lost, answeredAt - kAnswerTime) <
             kMessages) {
      sleepFor(0.0001);
    }
    sleepFor(kLossDelay);
    deployment.record.line(
      "%.1f ms after the store's answer the reader has sent "
      "%zu messages",
      1000 * (seconds() - answeredAt),
      deployment.links->countSentAfter(lost, answeredAt - kAnswerTime));
    deployment.signalTo(reader, SIGKILL, "SIGKILL");
  }

  std::mutex mutex;
  std::size_t sent = 0;
  std::size_t stale = 0;
  std::size_t refused = 0;
  std::size_t unanswered = 0;
  std::vector<std::thread> requests;
  const double from = acknowledged + kConfigApply + kSlack;
  for (double at = from; at < from + kWatched; at += 1) {
    sleepUntil(at);
    for (const Instance& instance : deployment.instances) {
      if (instance.index == reader) {
        continue;
      }
      requests.emplace_back([&, &through = instance] {
        char id[64];
        snprintf(id, sizeof id, "%.1f-%zu", seconds(), through.index);
        const Outcome old = deployment.callers->request(
          through, dropped, id + std::string("-dropped"));
        const Outcome fresh = deployment.callers->request(
          through, added, id + std::string("-added"));
        const std::lock_guard<std::mutex> lock(mutex);
        sent += 2;
        stale += old.kind == Outcome::Kind::answered ? 1 : 0;
        refused += fresh.kind == Outcome::Kind::reset ? 1 : 0;
        unanswered += fresh.kind == Outcome::Kind::silent ? 1 : 0;
      });
    }
  }
  for (std::thread& each : requests) {
    each.join();
  }
  deployment.record.line(
    "of %zu requests sent later than %.2f s after the acknowledgement: %zu ran "
    "on the dropped route, %zu were refused and %zu not answered on the added "
    "one",
    sent,
    kConfigApply + kSlack,
    stale,
    refused,
    unanswered);
  deployment.end(stale + refused > 0 ? 1 : 0);
}
