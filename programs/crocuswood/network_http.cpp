#include "network_http.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <utility>

namespace crocuswood::command_line {

std::vector<http::plain_reply>
network_http::sendAll(const std::vector<http_call> &Calls) {
  boost::asio::io_context Context;
  std::vector<http::plain_reply> Replies(Calls.size());
  // A client has one time limit for all of its requests.
  std::vector<std::unique_ptr<http::plain_client>> Clients;
  std::size_t Waiting = Calls.size();
  for (std::size_t Index = 0; Index < Calls.size(); ++Index) {
    const http_call &Call = Calls[Index];
    Clients.push_back(
        std::make_unique<http::plain_client>(Context, 1, Call.TimeLimit));
    Clients.back()->send(Call.Server, Call.Request,
                         [&, Index](http::plain_reply Reply) {
                           Replies[Index] = std::move(Reply);
                           --Waiting;
                         });
  }
  while (Waiting > 0 && Context.run_one() > 0) {
  }
  return Replies;
}

} // namespace crocuswood::command_line
