/// \file
/// One connection to a server, with one request under way at a time.
#pragma once

#include "beast.h"

#include <crocuswood/http.h>

#include <functional>
#include <memory>
#include <optional>

namespace crocuswood::http {

using client_request = beast_http::request<beast_http::string_body>;

/// One connection to a server. It connects with the first exchange.
class client_connection
    : public std::enable_shared_from_this<client_connection> {
public:
  using done = std::function<void(plain_reply)>;

  client_connection(asio::io_context &Context, const peer_address &Server);

  /// Sends \p Request and calls \p Done once, unless close() comes first.
  /// No other exchange may be under way.
  void exchange(client_request Request, steady_clock::time_point Deadline,
                done Done);
  /// Whether another exchange may follow on this connection. It looks at the
  /// socket: a server that has closed its end is noticed.
  bool isReusable();
  void close();

private:
  enum class stage : std::uint8_t { Idle, Connecting, Writing, Reading };
  using response_parser = beast_http::response_parser<beast_http::string_body>;

  void startTimer(steady_clock::time_point Deadline);
  void connect();
  void write();
  void written(error_code Error, std::size_t Bytes);
  void read();
  void answered(error_code Error);
  void fail(plain_reply::kind Kind, std::string Reason, bool Refused = false);
  void finish(plain_reply Reply);

  tcp::socket Socket;
  asio::steady_timer Timer;
  peer_address Server;
  stage Stage = stage::Idle;
  bool Connected = false;
  std::uint64_t Exchange = 0; ///< Tells late timers that theirs has ended.
  client_request Request;
  std::optional<response_parser> Parser;
  beast::flat_buffer Input;
  done Done;
};

} // namespace crocuswood::http
