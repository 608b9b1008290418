#include "link_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace crocuswood::wire {

namespace asio = boost::asio;
using boost::system::error_code;

link_connection::link_connection(link_id Link, session_role Role,
                                 connection_surroundings &Common,
                                 connection_observer &Listener)
    : Link(Link), Role(Role), Surroundings(&Common), Observer(&Listener),
      Socket(Common.Context), Timer(Common.Context), Session(Role),
      Splitter(Common.Limits.MaxEnvelopeBytes) {}

void link_connection::dial(const peer_address &Address) {
  Remote = Address;
  error_code Error;
  const auto Host = asio::ip::make_address(Address.Host, Error);
  if (Error) {
    postFail("the address is not an IP number: " + Address.Host);
    return;
  }
  startTimer("the peer did not answer the dial in time");
  Socket.async_connect({Host, Address.Port},
                       [Self = shared_from_this()](const error_code &Result) {
                         if (Self->Observer == nullptr) {
                           return;
                         }
                         if (Result) {
                           Self->fail("dial: " + Result.message());
                           return;
                         }
                         Self->begin();
                       });
}

void link_connection::accept(asio::ip::tcp::socket Accepted) {
  Socket = std::move(Accepted);
  error_code Error;
  const auto Peer = Socket.remote_endpoint(Error);
  if (Error) {
    postFail(Error.message());
    return;
  }
  Remote = {.Host = Peer.address().to_string(), .Port = Peer.port()};
  startTimer("the peer did not open the link in time");
  begin();
}

void link_connection::send(const peer_envelope &Envelope) {
  if (Observer == nullptr || Draining) {
    return;
  }
  const checked<std::uint64_t> Appended = appendFrames(
      Session.getUnsent(), Envelope, Surroundings->Limits.MaxEnvelopeBytes);
  if (const auto *Faults = std::get_if<findings>(&Appended)) {
    postFail(toString(Faults->front()));
    return;
  }
  Surroundings->Traffic.EnvelopesSent += std::get<std::uint64_t>(Appended);
  if (Session.getUnsentBytes() + Output.size() >
      Surroundings->Limits.MaxUnsentBytes) {
    postFail("the peer is too slow: too many bytes are unsent");
    return;
  }
  postFlush();
}

void link_connection::drain() {
  Draining = true;
  Session.finish();
  startTimer("the peer did not close the link in time");
  postFlush();
}

void link_connection::close() {
  Observer = nullptr;
  closeSocket();
}

void link_connection::begin() {
  error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  flush();
  readMore();
}

void link_connection::startTimer(const char *Reason) {
  Timer.expires_after(Surroundings->Limits.DialLimit);
  Timer.async_wait(
      [Self = shared_from_this(), Reason](const error_code &Error) {
        if (!Error && Self->Observer != nullptr) {
          Self->fail(Reason);
        }
      });
}

void link_connection::readMore() {
  Socket.async_read_some(
      asio::buffer(Input),
      [Self = shared_from_this()](const error_code &Error, std::size_t Size) {
        if (Self->Observer == nullptr) {
          return;
        }
        if (Error) {
          Self->fail("read: " + Error.message());
          return;
        }
        Self->takeInput(Size);
      });
}

void link_connection::takeInput(std::size_t Size) {
  Surroundings->Traffic.BytesReceived += Size;
  const auto Fault = Session.receive(std::string_view(Input.data(), Size));
  if (Fault) {
    fail("protocol: " + *Fault);
    return;
  }
  if (!Opened && Session.isOpen()) {
    // Dials wait while this process does nothing, and a peer dials anew.
    if (Role == session_role::Server && hasPeerLeft()) {
      fail("the peer has given the link up");
      return;
    }
    Opened = true;
    if (!Draining) {
      Timer.cancel();
      Observer->connectionOpened(*this);
    }
  }
  if (!deliver()) {
    return;
  }
  noteHeld(Splitter.release());
  relieve();
  if (Observer == nullptr) {
    return;
  }
  if (Session.hasEnded() && !isStillWriting()) {
    fail("the peer ended the link");
    return;
  }
  flush();
  if (Observer != nullptr) {
    readMore();
  }
}

void link_connection::noteHeld(std::size_t Bytes) {
  if (Bytes == HeldBytes) {
    return;
  }
  Surroundings->HeldBytes += Bytes;
  Surroundings->HeldBytes -= std::exchange(HeldBytes, Bytes);
  if (Bytes == 0) {
    Surroundings->Held.erase(this);
  } else {
    Surroundings->Held[this] = Bytes;
  }
}

// Closes the links that hold most until the others fit.
void link_connection::relieve() {
  const std::uint64_t Bound = Surroundings->Limits.MaxHeldBytes;
  while (Surroundings->HeldBytes > Bound) {
    const auto Most = std::ranges::max_element(
        Surroundings->Held, {}, [](const auto &Item) { return Item.second; });
    // fail() takes it out of Held.
    const auto Greatest = Most->first->shared_from_this();
    Greatest->fail("too many bytes of unfinished envelopes are held");
  }
}

bool link_connection::hasPeerLeft() {
  char First = 0;
  error_code Error;
  Socket.receive(asio::buffer(&First, sizeof(First)),
                 asio::ip::tcp::socket::message_peek, Error);
  return Error && Error != asio::error::would_block;
}

// Returns false when the connection is closed afterwards.
bool link_connection::deliver() {
  std::string Received = Session.takeReceived();
  // A drained link listens only for the peer's end.
  if (!Received.empty() && !Draining) {
    Splitter.append(std::move(Received));
  }
  while (Observer != nullptr && !Draining) {
    const auto Next = Splitter.next();
    if (const auto *Faults = std::get_if<findings>(&Next)) {
      fail(toString(Faults->front()));
      return false;
    }
    const auto &Bytes = std::get<std::optional<std::string_view>>(Next);
    if (!Bytes) {
      return true;
    }
    checked<peer_envelope> Envelope = decode(*Bytes);
    if (const auto *Faults = std::get_if<findings>(&Envelope)) {
      fail(toString(Faults->front()));
      return false;
    }
    ++Surroundings->Traffic.EnvelopesReceived;
    Observer->connectionReceived(*this,
                                 std::get<peer_envelope>(std::move(Envelope)));
  }
  return Observer != nullptr;
}

// A drained link writes to its end even if the peer has ended first.
bool link_connection::isStillWriting() const {
  return Draining && (Writing || !Session.isFinished());
}

void link_connection::postFlush() {
  if (FlushPosted || Writing) {
    return;
  }
  FlushPosted = true;
  asio::post(Surroundings->Context, [Self = shared_from_this()] {
    Self->FlushPosted = false;
    Self->flush();
  });
}

void link_connection::flush() {
  if (Observer == nullptr || Writing || !Socket.is_open()) {
    return;
  }
  if (const auto Fault = Session.collectOutput(Output)) {
    fail("protocol: " + *Fault);
    return;
  }
  if (Output.empty()) {
    settle();
    return;
  }
  Writing = true;
  asio::async_write(
      Socket, asio::buffer(Output),
      [Self = shared_from_this()](const error_code &Error, std::size_t Size) {
        if (Self->Observer != nullptr) {
          Self->written(Error, Size);
        }
      });
}

// Called when nothing is left to write.
void link_connection::settle() {
  if (Session.isOver() || (Session.hasEnded() && !isStillWriting())) {
    fail("the link has ended");
    return;
  }
  if (Draining && Session.isFinished()) {
    error_code Ignored;
    Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  }
}

void link_connection::written(const error_code &Error, std::size_t Size) {
  Writing = false;
  Output.clear();
  Surroundings->Traffic.BytesSent += Size;
  if (Error) {
    fail("write: " + Error.message());
    return;
  }
  flush();
}

void link_connection::fail(const std::string &Reason) {
  connection_observer *Listener = std::exchange(Observer, nullptr);
  closeSocket();
  if (Listener != nullptr) {
    Listener->connectionEnded(*this, Reason);
  }
}

void link_connection::postFail(const std::string &Reason) {
  asio::post(Surroundings->Context, [Self = shared_from_this(), Reason] {
    if (Self->Observer != nullptr) {
      Self->fail(Reason);
    }
  });
}

void link_connection::closeSocket() {
  noteHeld(0);
  Timer.cancel();
  error_code Ignored;
  Socket.close(Ignored);
}

} // namespace crocuswood::wire
