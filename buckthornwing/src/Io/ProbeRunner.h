#ifndef BUCKTHORNWING_PROBE_RUNNER_H
#define BUCKTHORNWING_PROBE_RUNNER_H

#include "../Steering/TagEngine.h"
#include "TargetProbe.h"
#include "WallClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <string>

namespace buckthornwing {

/// \brief Carries out the probes of targets that an engine asks for.
template<typename Source>
class ProbeRunner
{
public:
  /// \param afterInput called after each input to the engine
  ProbeRunner(boost::asio::io_context& context,
              TagEngine& engine,
              Source& source,
              std::function<void()> afterInput)
    : context(context)
    , engine(engine)
    , source(source)
    , afterInput(std::move(afterInput))
  {
  }

  /// \brief Starts the probes that the engine wants now.
  void start()
  {
    for (const TargetSlot slot : this->engine.takeProbes()) {
      const TargetRecord& target =
        this->engine.board().registry.at(slot).record;
      this->source.probe(target,
                         this->engine.healthPathOf(slot),
                         this->hooksFor({ slot, target.id, target.address }));
    }
  }

  /// \brief What probes under way find is not told any more.
  void stop() { this->stopped = true; }

private:
  /// \brief A target as it was when its probe began.
  struct ProbedTarget
  {
    TargetSlot slot = kNoTargetSlot;
    std::string id;
    Endpoint address;
  };

  boost::asio::io_context& context;
  TagEngine& engine;
  Source& source;
  std::function<void()> afterInput;
  bool stopped = false;

  ProbeHooks hooksFor(const ProbedTarget& probed)
  {
    ProbeHooks hooks;
    hooks.result = [this, probed](ProbeResult result) {
      this->afterQueuedInput([this, probed, result](MilliTime now) {
        // Of a target that moved meanwhile nothing was learned.
        const ProbeResult found =
          this->isSame(probed) ? result : ProbeResult::silent;
        this->engine.onProbeResult(probed.slot, found, now);
      });
    };
    hooks.lateConnection = [this, probed] {
      this->afterQueuedInput([this, probed](MilliTime now) {
        if (this->isSame(probed)) {
          this->engine.onLateConnection(probed.slot, now);
        }
      });
    };
    hooks.lateResult = [this, probed](ProbeResult result) {
      this->afterQueuedInput([this, probed, result](MilliTime now) {
        if (this->isSame(probed)) {
          this->engine.onLateResult(probed.slot, result, now);
        }
      });
    };
    return hooks;
  }

  /// \returns whether a slot still holds the target whose probe began.
  bool isSame(const ProbedTarget& probed) const
  {
    const TargetRecord& target =
      this->engine.board().registry.at(probed.slot).record;
    return target.id == probed.id && target.address == probed.address;
  }

  /// \brief Tells the engine what a probe found, once all input that came
  /// before was handled: answers must count in the order in which they came.
  void afterQueuedInput(std::function<void(MilliTime now)> tell)
  {
    boost::asio::post(this->context, [this, tell = std::move(tell)] {
      if (!this->stopped) {
        tell(bootTime());
        this->afterInput();
      }
    });
  }
};

}

#endif
