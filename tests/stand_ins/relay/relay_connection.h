/// \file
/// One relayed TCP connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <utility>

namespace crocuswood::stand_ins {

/// Moves bytes both ways, until it is told to lose them. Keeps itself alive
/// while it is open.
class relay_connection : public std::enable_shared_from_this<relay_connection> {
public:
  using tcp = boost::asio::ip::tcp;

  relay_connection(tcp::socket Caller, std::chrono::milliseconds Span);
  /// Connects to \p Target and begins to relay.
  void start(const tcp::endpoint &Target);
  /// Passes nothing more, for good. Neither end learns that the other closes.
  void silence() { Silent = true; }
  void cut();
  /// Delays every piece that is read from now on.
  void delay(std::chrono::milliseconds Span) { Delay = Span; }
  bool isOpen() const { return Sides.front().Socket.is_open(); }

private:
  struct side {
    tcp::socket Socket;
    boost::asio::steady_timer Timer;
    std::array<char, 16'384> Input{};
  };

  void read(std::size_t From);
  void writeLater(std::size_t From, std::size_t Size);
  void end();

  std::array<side, 2> Sides;
  std::chrono::milliseconds Delay;
  bool Silent = false;
};

} // namespace crocuswood::stand_ins
