/// \file
/// The platform's table service and object store, with faults on demand.
#pragma once

#include "common/stand_in.h"
#include "platform/row_store.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace crocuswood::stand_ins {

/// Serves rows, objects and the control of faults.
class platform_server {
public:
  explicit platform_server(boost::asio::io_context &Context);

  http::plain_server &getServer() { return Server; }

private:
  using respond = http::plain_server::respond;

  /// Faults that the service shows.
  enum class fault : std::uint8_t { None, Down, Closing, Slow, LoseAnswers };

  void serve(const http::plain_request &Request, const respond &Respond);
  void serveFaulty(const http::plain_request &Request, const respond &Respond);
  void respondLater(const respond &Respond, http::plain_response Response);
  http::plain_response control(const http::plain_request &Request);
  http::plain_response counts() const;
  http::plain_response apply(const http::plain_request &Request);
  http::plain_response readRow(const std::string &Key);
  http::plain_response readRange(const http::plain_request &Request);
  http::plain_response writeRow(const http::plain_request &Request,
                                const std::string &Key);
  http::plain_response writeBatch(const http::plain_request &Request);
  http::plain_response serveObject(const http::plain_request &Request);

  boost::asio::io_context &Context;
  row_store Rows;
  std::map<std::string, std::string> Objects;
  fault Fault = fault::None;
  std::string FaultName = "ok";
  std::chrono::milliseconds Delay{0};
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t RowsWritten = 0;
  std::uint64_t Refused = 0;
  http::plain_server Server;
};

} // namespace crocuswood::stand_ins
