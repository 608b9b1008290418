/// \file
/// A peer that writes any bytes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <utility>

namespace crocuswood::wire_test {

/// A plain TCP connection to the entry of a pair.
class raw_peer {
public:
  raw_peer(boost::asio::io_context &Context, std::uint16_t Port)
      : Socket(Context) {
    Socket.connect({boost::asio::ip::address_v4::loopback(), Port});
  }

  void write(const std::string &Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Bytes), Ignored);
  }

  /// Takes what arrives until the other side closes.
  void awaitEnd() {
    Socket.async_read_some(
        boost::asio::buffer(Input),
        [this](const boost::system::error_code &Error, std::size_t /*Size*/) {
          if (Error) {
            Ended = true;
            return;
          }
          awaitEnd();
        });
  }

  bool hasEnded() const { return Ended; }

private:
  boost::asio::ip::tcp::socket Socket;
  std::array<char, 4096> Input{};
  bool Ended = false;
};

} // namespace crocuswood::wire_test
