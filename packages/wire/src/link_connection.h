/// \file
/// One link on one TCP connection.
#pragma once

#include "envelope_framer.h"
#include "http2_session.h"

#include <crocuswood/wire.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace crocuswood::wire {

class link_connection;

/// Hears from connections. Every call comes from the loop, never from within a
/// call to the connection.
class connection_observer {
public:
  virtual ~connection_observer() = default;
  virtual void connectionOpened(link_connection &Connection) = 0;
  virtual void connectionReceived(link_connection &Connection,
                                  peer_envelope Envelope) = 0;
  /// The connection has failed or has been drained. The last call.
  virtual void connectionEnded(link_connection &Connection,
                               const std::string &Reason) = 0;
};

/// What a connection shares with the others of its hub.
struct connection_surroundings {
  boost::asio::io_context &Context;
  limits Limits;
  traffic Traffic;
  /// Links with an unfinished envelope, and what each of them holds.
  std::unordered_map<link_connection *, std::size_t> Held;
  std::uint64_t HeldBytes = 0;
};

/// Moves envelopes over one socket. It keeps itself alive while operations are
/// under way.
class link_connection : public std::enable_shared_from_this<link_connection> {
public:
  /// \p Common and \p Listener must outlive the connection or its close().
  link_connection(link_id Link, session_role Role,
                  connection_surroundings &Common,
                  connection_observer &Listener);

  link_id getLink() const { return Link; }
  session_role getRole() const { return Role; }
  bool isOpen() const { return Opened; }
  const peer_address &getRemote() const { return Remote; }

  /// Connects to \p Address and opens the link.
  void dial(const peer_address &Address);
  /// Ends without a connection.
  void refuse(const std::string &Reason) { postFail(Reason); }
  /// Takes over a connection that a peer has opened.
  void accept(boost::asio::ip::tcp::socket Accepted);
  /// Writes \p Envelope with everything else of this turn of the loop.
  void send(const peer_envelope &Envelope);
  /// Ends the link after what was sent, and waits for the peer to close.
  void drain();
  /// Closes at once. The observer hears nothing more.
  void close();

private:
  void begin();
  void startTimer(const char *Reason);
  void readMore();
  void takeInput(std::size_t Size);
  /// \returns whether the peer has closed the connection right behind what was
  /// read.
  bool hasPeerLeft();
  bool deliver();
  void noteHeld(std::size_t Bytes);
  void relieve();
  bool isStillWriting() const;
  void postFlush();
  void flush();
  void settle();
  void written(const boost::system::error_code &Error, std::size_t Size);
  void fail(const std::string &Reason);
  void postFail(const std::string &Reason);
  void closeSocket();

  // What one read takes at most.
  static constexpr std::size_t ReadBytes = 16UL * 1024;

  link_id Link;
  session_role Role;
  connection_surroundings *Surroundings;
  connection_observer *Observer;
  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  http2_session Session;
  frame_splitter Splitter;
  peer_address Remote;
  std::array<char, ReadBytes> Input{};
  std::string Output;
  bool Opened = false;
  bool Draining = false;
  bool FlushPosted = false;
  bool Writing = false;
  std::size_t HeldBytes = 0; ///< Of an unfinished envelope.
};

} // namespace crocuswood::wire
