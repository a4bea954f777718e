#ifndef BUCKTHORNWING_EMULATOR_TIMERS_H
#define BUCKTHORNWING_EMULATOR_TIMERS_H

#include <Core>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace buckthornwing::emulator {

/// \brief Runs functions after a delay, or periodically, in an event loop.
struct Timers
{
  boost::asio::io_context& context;

  void after(MilliDuration delay, std::function<void()> work) const
  {
    const auto timer =
      std::make_shared<boost::asio::steady_timer>(this->context);
    timer->expires_after(std::chrono::milliseconds(delay.ms));
    timer->async_wait(
      [timer, work = std::move(work)](const boost::system::error_code& code) {
        if (!code) {
          work();
        }
      });
  }

  /// \brief Runs \a work periodically, first after one \a period, until the
  /// event loop stops.
  void every(MilliDuration period, std::function<void()> work) const
  {
    this->after(period, [*this, period, work] {
      work();
      this->every(period, work);
    });
  }
};

}

#endif
