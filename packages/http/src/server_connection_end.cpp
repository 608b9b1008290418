#include "server_connection.h"

#include <poll.h>

namespace crocuswood::http {

namespace {

constexpr unsigned StatusUnavailable = 503;

} // namespace

void server_connection::closeIfIdle() {
  if (!Closed && !Lingering && isIdle() && !hasUnreadInput()) {
    endIdle();
  }
}

bool server_connection::hasPeerLeft() {
  char First = 0;
  error_code Error;
  Socket.receive(asio::buffer(&First, sizeof(First)), tcp::socket::message_peek,
                 Error);
  if (Error) {
    return Error != asio::error::would_block;
  }
  // The end of the input lies behind input that has not been read.
  pollfd Peer{.fd = Socket.native_handle(), .events = POLLRDHUP, .revents = 0};
  return ::poll(&Peer, 1, 0) > 0;
}

void server_connection::checkPeer() {
  if (!Closed && !Slots.empty() && hasPeerLeft()) {
    peerClosed();
  }
}

std::optional<server_connection::displaceable>
server_connection::getDisplaceable() const {
  if (Closed || Lingering || Writing || !Slots.empty() || InputEnded) {
    return std::nullopt;
  }
  return Parser ? displaceable{.Unfinished = true, .Since = RequestBegan}
                : displaceable{.Unfinished = false, .Since = LastProgress};
}

void server_connection::displace() {
  if (Parser) {
    dropUnfinished(budget_cause::Displaced);
    return;
  }
  State.Memory->count(budget_cause::Displaced);
  endIdle();
}

void server_connection::closeAfterLinger(steady_clock::time_point Now,
                                         duration Least) {
  if (Lingering && Now - LastProgress >= Least) {
    close();
  }
}

void server_connection::detach() {
  Handler = nullptr;
  Closed = true;
  closeAccount();
  error_code Ignored;
  Socket.close(Ignored);
}

void server_connection::peerClosed() {
  InputEnded = true;
  dropParser();
  abandonRequests();
  if (!Writing || Lingering) {
    close();
    return;
  }
  FinalAnswer = true;
}

void server_connection::abandonRequests() {
  std::deque<slot> Abandoned = std::move(Slots);
  FirstSlot += Abandoned.size();
  Slots.clear();
  RequestBytes = 0;
  AnswerBytes = 0;
  for (const slot &Slot : Abandoned) {
    if (Slot.Tag != 0 && Handler != nullptr) {
      Handler->requestAbandoned(Slot.Tag);
    }
  }
}

// A request that is on its way can't be taken back by its caller, so the last
// thing that it finds on the connection is a refusal.
void server_connection::endIdle() {
  rejectFault(StatusUnavailable,
              "The connection was closed before the request was read.");
  flush();
}

// Closing a socket with unread input resets the connection, which may destroy
// an answer on its way. So the peer closes first, or a short time passes.
void server_connection::linger() {
  dropParser();
  abandonRequests();
  Lingering = true;
  InputEnded = true;
  LastProgress = steady_clock::now();
  error_code Error;
  Socket.shutdown(tcp::socket::shutdown_send, Error);
  if (Error) {
    close();
    return;
  }
  Input.clear();
  releaseInput();
  read();
}

void server_connection::close() {
  if (Closed) {
    return;
  }
  Closed = true;
  error_code Ignored;
  Socket.close(Ignored);
  dropParser();
  abandonRequests();
  closeAccount();
  if (Handler != nullptr && Discarded > 0) {
    Handler->inputDropped(Discarded);
  }
  if (Handler != nullptr) {
    Handler->connectionClosed(*this);
  }
}

bool server_connection::isIdle() const {
  return Slots.empty() && !Writing && !Parser && Input.size() == 0;
}

// A late process may not have read yet what has arrived long ago. The read that
// is under way takes it, also the end of the input.
bool server_connection::hasUnreadInput() {
  char First = 0;
  error_code Error;
  Socket.receive(asio::buffer(&First, sizeof(First)), tcp::socket::message_peek,
                 Error);
  return Error != asio::error::would_block;
}

} // namespace crocuswood::http
