/// \file
/// One HTTP/2 connection that carries one link, without the socket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace crocuswood::wire {

/// Which end of an HTTP/2 connection a session is.
enum class session_role : std::uint8_t {
  Client, ///< Opens the link's stream with `POST /link`.
  Server, ///< Accepts exactly one such stream.
};

/// Turns bytes of the link's stream into HTTP/2 frames and back (nghttp2). The
/// caller moves the frames to and from the socket.
class http2_session {
public:
  explicit http2_session(session_role Role);
  ~http2_session();
  http2_session(const http2_session &) = delete;
  http2_session &operator=(const http2_session &) = delete;

  /// Takes bytes from the socket. \returns the reason to close the connection,
  /// if there is one.
  std::optional<std::string> receive(std::string_view Bytes);
  /// Appends what is to be written to the socket to \p Out, as far as the
  /// peer's flow control allows. \returns the reason to close the connection,
  /// if there is one.
  std::optional<std::string> collectOutput(std::string &Out);

  /// Where bytes for the link's stream are appended; collectOutput() takes
  /// them.
  std::string &getUnsent();
  std::size_t getUnsentBytes() const;
  /// Ends the stream after what is unsent.
  void finish();

  /// Bytes of the link's stream that receive() found since the last call.
  std::string takeReceived();
  /// Both ends agree that the link is open.
  bool isOpen() const;
  /// The peer has ended the stream or the connection.
  bool hasEnded() const;
  /// The connection is of no more use, as after a violation of the protocol.
  bool isOver() const;
  /// Everything up to the end of the stream has been collected.
  bool isFinished() const;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace crocuswood::wire
