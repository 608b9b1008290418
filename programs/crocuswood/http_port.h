/// \file
/// Interface to the servers that commands talk to.
#pragma once

#include <crocuswood/http.h>
#include <crocuswood/model.h>

#include <vector>

namespace crocuswood::command_line {

/// One request to one server.
struct http_call {
  peer_address Server;
  http::plain_request Request;
  duration TimeLimit = std::chrono::seconds(5);
};

/// Sends requests and waits for their ends.
class http_port {
public:
  virtual ~http_port() = default;
  /// Sends all \p Calls at the same time. \returns one reply for each, in
  /// order.
  virtual std::vector<http::plain_reply>
  sendAll(const std::vector<http_call> &Calls) = 0;

  http::plain_reply send(const http_call &Call) {
    return sendAll({Call}).front();
  }
};

} // namespace crocuswood::command_line
