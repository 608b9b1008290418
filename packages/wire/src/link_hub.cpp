#include "link_hub.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <vector>

namespace crocuswood::wire {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Accepted links count from here, so that they never meet the ids that the
// caller of dial() chooses.
constexpr std::uint64_t FirstAcceptedLink = std::uint64_t{1} << 63U;

// Wait after a failed accept, such as for want of descriptors.
constexpr auto AcceptRetryInterval = std::chrono::milliseconds(100);

} // namespace

link_hub::link_hub(asio::io_context &Context, const limits &Limits,
                   link_events &Events)
    : Common{.Context = Context, .Limits = Limits, .Traffic = {}},
      Events(Events), Acceptor(Context), AcceptTimer(Context) {}

checked<std::uint16_t> link_hub::listen(const peer_address &Address) {
  const auto Report = [&Address](const std::string &Message) {
    return findings{
        finding{.Source = Address.Host + ":" + std::to_string(Address.Port),
                .Message = Message}};
  };
  error_code Error;
  const asio::ip::tcp::endpoint Local(
      asio::ip::make_address(Address.Host, Error), Address.Port);
  if (Error) {
    return Report("not an IP number");
  }
  Acceptor.open(Local.protocol(), Error);
  if (!Error) {
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  }
  if (!Error) {
    Acceptor.bind(Local, Error);
  }
  if (!Error) {
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  }
  if (Error) {
    error_code Ignored;
    Acceptor.close(Ignored);
    return Report("cannot listen: " + Error.message());
  }
  acceptNext();
  return Acceptor.local_endpoint().port();
}

void link_hub::stopListening() {
  AcceptTimer.cancel();
  error_code Ignored;
  Acceptor.close(Ignored);
}

void link_hub::dial(link_id Link, const peer_address &Remote) {
  const auto Connection = std::make_shared<link_connection>(
      Link, session_role::Client, Common, *this);
  const auto [Place, Inserted] = Connections.emplace(Link, Connection);
  if (!Inserted) {
    return;
  }
  if (Connections.size() > Common.Limits.MaxLinks) {
    Connection->refuse("too many links are open");
    return;
  }
  Connection->dial(Remote);
}

void link_hub::send(link_id Link, const peer_envelope &Envelope) {
  const auto Found = Connections.find(Link);
  if (Found != Connections.end()) {
    Found->second->send(Envelope);
  }
}

void link_hub::close(link_id Link) {
  const auto Found = Connections.find(Link);
  if (Found == Connections.end()) {
    return;
  }
  Found->second->close();
  WaitingLinks.erase(Link);
  Connections.erase(Found);
  finishDrain();
}

void link_hub::drain(std::function<void()> Done) {
  stopListening();
  DrainDone = std::move(Done);
  std::vector<link_id> Unopened;
  for (const auto &[Link, Connection] : Connections) {
    if (Connection->isOpen()) {
      Connection->drain();
    } else {
      Unopened.push_back(Link);
    }
  }
  for (const link_id Link : Unopened) {
    close(Link);
  }
  finishDrain();
}

void link_hub::shutDown() {
  stopListening();
  DrainDone = nullptr;
  for (const auto &[Link, Connection] : Connections) {
    Connection->close();
  }
  Connections.clear();
  WaitingLinks.clear();
}

void link_hub::connectionOpened(link_connection &Connection) {
  WaitingLinks.erase(Connection.getLink());
  Events.linkOpened(Connection.getLink(), Connection.getRemote());
}

void link_hub::connectionReceived(link_connection &Connection,
                                  peer_envelope Envelope) {
  Events.envelopeReceived(Connection.getLink(), std::move(Envelope));
}

void link_hub::connectionEnded(link_connection &Connection,
                               const std::string &Reason) {
  const link_id Link = Connection.getLink();
  const bool Known =
      Connection.isOpen() || Connection.getRole() == session_role::Client;
  WaitingLinks.erase(Link);
  Connections.erase(Link);
  if (DrainDone) {
    finishDrain();
    return;
  }
  if (Known) {
    Events.linkClosed(Link, Reason);
  }
}

void link_hub::acceptNext() {
  Acceptor.async_accept(
      [Weak = weak_from_this()](const error_code &Error,
                                asio::ip::tcp::socket Socket) {
        const auto Self = Weak.lock();
        if (!Self || !Self->Acceptor.is_open()) {
          return;
        }
        if (Error) {
          Self->acceptLater();
          return;
        }
        Self->accepted(std::move(Socket));
        Self->acceptNext();
      });
}

void link_hub::accepted(asio::ip::tcp::socket Socket) {
  if (WaitingLinks.size() >= Common.Limits.MaxUnopened ||
      Connections.size() >= Common.Limits.MaxLinks) {
    closeOldestUnopened();
  }
  // Beyond the limit the socket closes here and the peer dials elsewhere.
  if (Connections.size() >= Common.Limits.MaxLinks) {
    return;
  }
  const link_id Link{FirstAcceptedLink + AcceptedLinks++};
  const auto Connection = std::make_shared<link_connection>(
      Link, session_role::Server, Common, *this);
  Connections.emplace(Link, Connection);
  WaitingLinks.insert(Link);
  Connection->accept(std::move(Socket));
}

// Peers that open no link keep nobody else out.
void link_hub::closeOldestUnopened() {
  if (!WaitingLinks.empty()) {
    close(*WaitingLinks.begin());
  }
}

void link_hub::acceptLater() {
  AcceptTimer.expires_after(AcceptRetryInterval);
  AcceptTimer.async_wait([Weak = weak_from_this()](const error_code &Error) {
    const auto Self = Weak.lock();
    if (!Error && Self && Self->Acceptor.is_open()) {
      Self->acceptNext();
    }
  });
}

void link_hub::finishDrain() {
  if (DrainDone && Connections.empty()) {
    asio::post(Common.Context, std::exchange(DrainDone, nullptr));
  }
}

} // namespace crocuswood::wire
