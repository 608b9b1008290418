#include "json_text.h"

#include <crocuswood/http.h>

#include <utility>

namespace crocuswood::http {

namespace {

constexpr std::uint32_t MaxRunConnections = 4'096;
constexpr std::uint32_t MaxStopConnections = 8;
constexpr duration StopTimeLimit = std::chrono::seconds(5);
constexpr std::size_t MaxReasonBytes = 1'024;
constexpr unsigned StatusOk = 200;

endpoint_outcome toOutcome(plain_reply Reply) {
  if (Reply.Kind == plain_reply::kind::NotWritten) {
    return endpoint_not_reached{.Reason = std::move(Reply.Reason)};
  }
  if (Reply.Kind == plain_reply::kind::Lost) {
    return endpoint_lost{.Reason = std::move(Reply.Reason)};
  }
  if (Reply.Response.Status != StatusOk) {
    Reply.Response.Body.resize(
        std::min(Reply.Response.Body.size(), MaxReasonBytes));
    return endpoint_failed{.Reason = std::move(Reply.Response.Body)};
  }
  if (!isJson(Reply.Response.Body)) {
    return endpoint_failed{.Reason = "the endpoint's output is not JSON"};
  }
  return endpoint_completed{.Output = payload(std::move(Reply.Response.Body))};
}

} // namespace

/// Stops go over connections of their own, so that they never wait behind
/// running tasks.
class endpoint_client::implementation {
public:
  implementation(boost::asio::io_context &Context, duration TimeLimit)
      : Runs(Context, MaxRunConnections, TimeLimit),
        Stops(Context, MaxStopConnections, StopTimeLimit) {}

  plain_client Runs;
  plain_client Stops;
};

endpoint_client::endpoint_client(boost::asio::io_context &Context,
                                 duration TimeLimit)
    : Impl(std::make_unique<implementation>(Context, TimeLimit)) {}

endpoint_client::~endpoint_client() = default;

void endpoint_client::run(const peer_address &Endpoint, endpoint_call Call,
                          std::function<void(endpoint_outcome)> Done) {
  plain_request Request{.Method = "POST",
                        .Path = "/v1/run",
                        .Headers = {{"Crocuswood-Task", toString(Call.Task)},
                                    {"Crocuswood-Class", Call.Class}},
                        .Body = std::string(Call.Input.getBytes())};
  Impl->Runs.send(Endpoint, std::move(Request),
                  [Done = std::move(Done)](plain_reply Reply) {
                    Done(toOutcome(std::move(Reply)));
                  });
}

void endpoint_client::stop(const peer_address &Endpoint, const task_id &Task) {
  Impl->Stops.send(Endpoint,
                   {.Method = "DELETE", .Path = "/v1/run/" + toString(Task)},
                   [](const plain_reply &) {
                     // The task's end comes through the answer to its run.
                   });
}

} // namespace crocuswood::http
