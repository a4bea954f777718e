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

/// \brief Executes the health probes that an engine requests and passes their
/// results to the engine.
/// \tparam Source sends the probes; see ViewSource
template<typename Source>
class ProbeRunner
{
public:
  /// \param afterInput called after each result was passed to the engine
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

  /// \brief Starts the probes that the engine has requested since the last
  /// call.
  void start()
  {
    for (const TargetSlot slot : this->engine.takeProbes()) {
      const TargetRecord& target =
        this->engine.board().registry.at(slot).record;
      this->source.probe(target,
                         this->engine.healthPathOf(slot),
                         this->makeHooks({ slot, target.id, target.address }));
    }
  }

  /// \brief Discards the results of probes that are still running.
  void stop() { this->stopped = true; }

private:
  /// \brief Identity of a target at the start of its probe.
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

  ProbeHooks makeHooks(const ProbedTarget& probed)
  {
    ProbeHooks hooks;
    hooks.result = [this, probed](ProbeResult result) {
      this->afterQueuedInput([this, probed, result](MilliTime now) {
        // If the slot's target or its address has changed since the probe
        // began, the probe says nothing about the present target and counts as
        // unanswered.
        const ProbeResult found =
          this->isSameTarget(probed) ? result : ProbeResult::silent;
        this->engine.onProbeResult(probed.slot, found, now);
      });
    };
    hooks.lateConnection = [this, probed] {
      this->afterQueuedInput([this, probed](MilliTime now) {
        if (this->isSameTarget(probed)) {
          this->engine.onLateConnection(probed.slot, now);
        }
      });
    };
    hooks.lateResult = [this, probed](ProbeResult result) {
      this->afterQueuedInput([this, probed, result](MilliTime now) {
        if (this->isSameTarget(probed)) {
          this->engine.onLateResult(probed.slot, result, now);
        }
      });
    };
    return hooks;
  }

  /// \returns whether the slot still holds the probed target at the same
  /// address.
  bool isSameTarget(const ProbedTarget& probed) const
  {
    const TargetRecord& target =
      this->engine.board().registry.at(probed.slot).record;
    return target.id == probed.id && target.address == probed.address;
  }

  /// \brief Passes a probe's finding to the engine after all input that is
  /// already queued, so that the engine sees input in the order of arrival.
  /// \param passFinding called with the current time
  void afterQueuedInput(std::function<void(MilliTime now)> passFinding)
  {
    boost::asio::post(this->context,
                      [this, passFinding = std::move(passFinding)] {
                        if (!this->stopped) {
                          passFinding(bootTime());
                          this->afterInput();
                        }
                      });
  }
};

}

#endif
