#include "connection_server.h"

#include "listener_filter.h"

#include <algorithm>

namespace crocuswood::http {

namespace {

constexpr int ListenBacklog = 4'096;
constexpr std::chrono::milliseconds AcceptRetryInterval{50};
constexpr std::chrono::milliseconds LongestCheckInterval{500};
constexpr std::chrono::milliseconds ShortestCheckInterval{10};
constexpr int ChecksPerIdleLimit = 8;
/// Connections beyond the bound that are told so at the same time.
constexpr std::size_t MaxRejected = 256;
constexpr unsigned StatusUnavailable = 503;

finding listenFault(const peer_address &Address, const error_code &Error) {
  return {.Source = Address.Host + ":" + std::to_string(Address.Port),
          .Message = "can't listen: " + Error.message()};
}

} // namespace

connection_server::connection_server(asio::io_context &Context,
                                     server_limits Limits,
                                     request_handler &Requests)
    : Context(Context),
      OwnMemory(Limits.Memory == nullptr
                    ? std::make_unique<memory_account>(budget_options())
                    : nullptr),
      State{.Limits = Limits,
            .Memory = OwnMemory ? OwnMemory.get() : Limits.Memory},
      Requests(Requests), Acceptor(Context), CheckTimer(Context),
      AcceptTimer(Context) {}

connection_server::~connection_server() {
  *Alive = false;
  for (const auto &[Key, Connection] : Connections) {
    Connection->detach();
  }
}

checked<std::uint16_t> connection_server::listen(const peer_address &Address) {
  error_code Error;
  const auto Number = asio::ip::make_address(Address.Host, Error);
  if (Error) {
    return findings{listenFault(Address, Error)};
  }
  const tcp::endpoint Local(Number, Address.Port);
  Acceptor.open(Local.protocol(), Error);
  if (!Error) {
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  }
  if (!Error) {
    Acceptor.bind(Local, Error);
  }
  if (!Error) {
    Acceptor.listen(ListenBacklog, Error);
  }
  if (!Error) {
    Acceptor.non_blocking(true, Error);
  }
  if (Error) {
    error_code Ignored;
    Acceptor.close(Ignored);
    return findings{listenFault(Address, Error)};
  }
  accept();
  scheduleCheck();
  return Acceptor.local_endpoint().port();
}

void connection_server::stopAccepting() {
  State.Stopping = true;
  if (!Acceptor.is_open()) {
    return;
  }
  // Where the system refuses the filter, a connection may still be established
  // between the last accept and the close.
  dropNewConnections(Acceptor.native_handle());
  acceptWaiting();
  error_code Ignored;
  Acceptor.close(Ignored);
}

void connection_server::closeIdle() {
  for (const auto &Connection : listConnections()) {
    Connection->closeIfIdle();
  }
}

void connection_server::checkPeers() {
  for (const auto &Connection : listConnections()) {
    Connection->checkPeer();
  }
}

void connection_server::drain(std::function<void()> Done) {
  stopAccepting();
  State.Draining = true;
  // Connections whose acceptance has not been reported yet come first.
  asio::post(Context, [this, Alive = Alive, Done = std::move(Done)]() mutable {
    if (*Alive) {
      DrainDone = std::move(Done);
      closeIdle();
      finishDrain();
    }
  });
}

// Closing one takes it out of Connections.
std::vector<std::shared_ptr<server_connection>>
connection_server::listConnections() const {
  std::vector<std::shared_ptr<server_connection>> Open;
  Open.reserve(Connections.size());
  for (const auto &[Key, Connection] : Connections) {
    Open.push_back(Connection);
  }
  return Open;
}

std::uint32_t connection_server::getConnections() const {
  return static_cast<std::uint32_t>(Connections.size());
}

void connection_server::requestReceived(server_connection &Connection,
                                        slot_number Slot,
                                        server_request Request) {
  Requests.requestReceived(Connection, Slot, std::move(Request));
}

server_response connection_server::rejectInput(unsigned Status,
                                               const std::string &Reason) {
  return Requests.rejectInput(Status, Reason);
}

void connection_server::requestAbandoned(std::uint64_t Tag) {
  Requests.requestAbandoned(Tag);
}

void connection_server::inputDropped(std::uint64_t Bytes) {
  Requests.inputDropped(Bytes);
}

void connection_server::connectionClosed(server_connection &Connection) {
  Connections.erase(&Connection);
  if (AcceptPaused && Acceptor.is_open()) {
    acceptNext();
  }
  finishDrain();
}

void connection_server::accept() {
  Acceptor.async_accept(
      [this, Alive = Alive](error_code Error, tcp::socket Socket) {
        if (*Alive) {
          accepted(Error, std::move(Socket));
        }
      });
}

// A connection may be reported after the listening socket has closed. It is
// one that the system had accepted already.
void connection_server::accepted(error_code Error, tcp::socket Socket) {
  if (!Error) {
    add(std::move(Socket));
  }
  if (!Acceptor.is_open()) {
    return;
  }
  if (!Error) {
    acceptNext();
    return;
  }
  // Out of file descriptors, most likely: wait until some are free.
  AcceptTimer.expires_after(AcceptRetryInterval);
  AcceptTimer.async_wait([this, Alive = Alive](error_code Aborted) {
    if (!Aborted && *Alive && Acceptor.is_open()) {
      accept();
    }
  });
}

// Connections beyond the bounds wait to be accepted until refused ones have
// gone, so that each of them is told.
void connection_server::acceptNext() {
  AcceptPaused = getConnections() >= State.Limits.MaxConnections + MaxRejected;
  if (!AcceptPaused) {
    accept();
  }
}

// Closing the listening socket resets connections that wait to be accepted,
// though their requests may have been sent already.
void connection_server::acceptWaiting() {
  while (Acceptor.is_open()) {
    error_code Error;
    tcp::socket Socket(Context);
    Acceptor.accept(Socket, Error);
    if (Error) {
      return;
    }
    add(std::move(Socket));
  }
}

void connection_server::add(tcp::socket Socket) {
  const bool Full = Connections.size() >= State.Limits.MaxConnections;
  const auto Connection =
      std::make_shared<server_connection>(std::move(Socket), State, *this);
  Connections.emplace(Connection.get(), Connection);
  Connection->start();
  if (Full) {
    Connection->rejectAtOnce(StatusUnavailable,
                             "Too many connections are open.");
  } else if (State.Draining) {
    Connection->closeIfIdle();
  }
}

void connection_server::scheduleCheck() {
  const auto Share = std::chrono::duration_cast<std::chrono::milliseconds>(
      State.Limits.IdleLimit / ChecksPerIdleLimit);
  CheckTimer.expires_after(
      std::clamp(Share, ShortestCheckInterval, LongestCheckInterval));
  CheckTimer.async_wait([this, Alive = Alive](error_code Aborted) {
    if (Aborted || !*Alive) {
      return;
    }
    const auto Now = steady_clock::now();
    for (const auto &Connection : listConnections()) {
      Connection->checkTime(Now);
    }
    State.Memory->reportSoon();
    scheduleCheck();
  });
}

void connection_server::finishDrain() {
  if (!State.Draining || !Connections.empty() || !DrainDone) {
    return;
  }
  CheckTimer.cancel();
  asio::post(Context, std::move(DrainDone));
  DrainDone = nullptr;
}

} // namespace crocuswood::http
