#include "relay/relay_connection.h"

#include <boost/asio/write.hpp>

namespace crocuswood::stand_ins {

using boost::system::error_code;

relay_connection::relay_connection(tcp::socket Caller,
                                   std::chrono::milliseconds Span)
    : Sides{side{.Socket = tcp::socket(Caller.get_executor()),
                 .Timer = boost::asio::steady_timer(Caller.get_executor())},
            side{.Socket = tcp::socket(Caller.get_executor()),
                 .Timer = boost::asio::steady_timer(Caller.get_executor())}},
      Delay(Span) {
  Sides.front().Socket = std::move(Caller);
}

void relay_connection::start(const tcp::endpoint &Target) {
  Sides.back().Socket.async_connect(
      Target, [Self = shared_from_this()](const error_code &Error) {
        if (Error) {
          Self->end();
          return;
        }
        for (std::size_t Side = 0; Side < Self->Sides.size(); ++Side) {
          error_code Ignored;
          Self->Sides[Side].Socket.set_option(tcp::no_delay(true), Ignored);
          Self->read(Side);
        }
      });
}

void relay_connection::cut() {
  error_code Ignored;
  for (side &Side : Sides) {
    Side.Socket.close(Ignored);
    Side.Timer.cancel();
  }
}

void relay_connection::read(std::size_t From) {
  Sides[From].Socket.async_read_some(
      boost::asio::buffer(Sides[From].Input),
      [Self = shared_from_this(), From](const error_code &Error,
                                        std::size_t Size) {
        if (Error) {
          Self->end();
        } else if (Self->Silent) {
          Self->read(From);
        } else {
          Self->writeLater(From, Size);
        }
      });
}

void relay_connection::writeLater(std::size_t From, std::size_t Size) {
  const auto Written = [Self = shared_from_this(),
                        From](const error_code &Error, std::size_t /*Size*/) {
    if (Error) {
      Self->end();
      return;
    }
    Self->read(From);
  };
  Sides[From].Timer.expires_after(Delay);
  Sides[From].Timer.async_wait([Self = shared_from_this(), From, Size,
                                Written](const error_code &Error) {
    if (!Error && Self->Silent) {
      Self->read(From);
    } else if (!Error) {
      boost::asio::async_write(
          Self->Sides[1 - From].Socket,
          boost::asio::buffer(Self->Sides[From].Input.data(), Size), Written);
    }
  });
}

void relay_connection::end() {
  if (!Silent) {
    cut();
  }
}

} // namespace crocuswood::stand_ins
