/// \file
/// Tries to push what waits in an outbox until it is empty.
#pragma once

#include "asio.h"

#include <chrono>
#include <functional>
#include <utility>

namespace crocuswood::daemon {

/// Calls a function again and again until it returns true. Runs on the thread
/// of its context.
class retry_timer {
public:
  /// \p Flush returns whether nothing waits any more.
  retry_timer(boost::asio::io_context &Context, std::function<bool()> Flush)
      : Timer(Context), Flush(std::move(Flush)) {}

  /// Starts trying, if it has not started yet.
  void arm() {
    if (Armed) {
      return;
    }
    Armed = true;
    Timer.expires_after(Interval);
    Timer.async_wait([this](const boost::system::error_code &Error) {
      if (Error) {
        return;
      }
      Armed = false;
      if (!Flush()) {
        arm();
      }
    });
  }

private:
  static constexpr std::chrono::microseconds Interval{500};

  boost::asio::steady_timer Timer;
  std::function<bool()> Flush;
  bool Armed = false;
};

} // namespace crocuswood::daemon
