#include "link_hub.h"

#include <crocuswood/wire.h>

namespace crocuswood::wire {

// The hub is shared with the handlers that wait in the context.
class link_endpoint::implementation {
public:
  implementation(boost::asio::io_context &Context, const limits &Limits,
                 link_events &Events)
      : Hub(std::make_shared<link_hub>(Context, Limits, Events)) {}
  ~implementation() { Hub->shutDown(); }
  implementation(const implementation &) = delete;
  implementation &operator=(const implementation &) = delete;

  std::shared_ptr<link_hub> Hub;
};

link_endpoint::link_endpoint(boost::asio::io_context &Context, limits Limits,
                             link_events &Events)
    : Impl(std::make_unique<implementation>(Context, Limits, Events)) {}

link_endpoint::~link_endpoint() = default;

checked<std::uint16_t> link_endpoint::listen(const peer_address &Address) {
  return Impl->Hub->listen(Address);
}

void link_endpoint::stopListening() { Impl->Hub->stopListening(); }

void link_endpoint::dial(link_id Link, const peer_address &Remote) {
  Impl->Hub->dial(Link, Remote);
}

void link_endpoint::send(link_id Link, const peer_envelope &Envelope) {
  Impl->Hub->send(Link, Envelope);
}

void link_endpoint::close(link_id Link) { Impl->Hub->close(Link); }

void link_endpoint::drain(std::function<void()> Done) {
  Impl->Hub->drain(std::move(Done));
}

traffic link_endpoint::getTraffic() const { return Impl->Hub->getTraffic(); }

} // namespace crocuswood::wire
