#include "posted_signal.h"

#include <boost/asio/post.hpp>

namespace crocuswood::rings {

void posted_signal::raise() {
  // The exchange orders the producer's push before the consumer's look, also
  // when the consumer was woken already.
  if (Raised.exchange(true, std::memory_order_acq_rel)) {
    return;
  }
  boost::asio::post(Context, [this] {
    // Cleared before the consumer looks: a raise while it looks posts again.
    Raised.exchange(false, std::memory_order_acq_rel);
    Wake();
  });
}

} // namespace crocuswood::rings
