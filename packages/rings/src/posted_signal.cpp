#include "posted_signal.h"

#include <boost/asio/post.hpp>

namespace crocuswood::rings {

void raised_signals::run() {
  while (!Signals.empty()) {
    const std::vector<posted_signal *> Now = std::exchange(Signals, {});
    for (posted_signal *Signal : Now) {
      Signal->run();
    }
  }
}

void posted_signal::raise() {
  // The exchange orders the producer's push before the consumer's look, also
  // when the consumer was woken already.
  if (Raised.exchange(true, std::memory_order_acq_rel)) {
    return;
  }
  if (Context.get_executor().running_in_this_thread()) {
    Local.add(*this);
    return;
  }
  boost::asio::post(Context, [this] { run(); });
}

void posted_signal::run() {
  // Cleared before the consumer looks: a raise while it looks counts again.
  Raised.exchange(false, std::memory_order_acq_rel);
  Wake();
}

} // namespace crocuswood::rings
