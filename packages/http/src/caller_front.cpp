#include "connection_server.h"
#include "json_text.h"
#include "target_text.h"

#include <crocuswood/http.h>

#include <unordered_map>

namespace crocuswood::http {

namespace {

constexpr std::string_view JobsPath = "/v1/jobs";
constexpr const char *ReferenceHeader = "Crocuswood-Reference";
constexpr std::size_t MaxReferenceBytes = 256;
constexpr unsigned StatusAccepted = 202;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusNotAllowed = 405;
constexpr unsigned StatusUnavailable = 503;

server_response refusal(const job_failure &Failure) {
  const job_answer Answer{.Outcome = Failure};
  server_response Response{.Status = statusOf(Answer.Outcome),
                           .Body = writeJobAnswer(Answer)};
  if (Failure.RetryAfter) {
    const auto Seconds =
        std::chrono::ceil<std::chrono::seconds>(*Failure.RetryAfter);
    Response.Headers.emplace_back("Retry-After",
                                  std::to_string(Seconds.count()));
  }
  return Response;
}

server_response invalid(unsigned Status, const std::string &Reason,
                        const findings &Findings) {
  return {.Status = Status,
          .Body = "{\"error\":\"invalid_request\",\"certainty\":\"not_run\","
                  "\"reason\":" +
                  toJsonString(Reason) + "," + writeFindings(Findings) + "}"};
}

server_response notFound(const std::string &Reason) {
  return {.Status = StatusNotFound,
          .Body = "{\"error\":\"not_found\",\"reason\":" +
                  toJsonString(Reason) + "}"};
}

server_response notAllowed(const char *Allowed) {
  return {.Status = StatusNotAllowed,
          .Body = "{\"error\":\"method_not_allowed\",\"reason\":\"Only " +
                  std::string(Allowed) + " is served here.\"}",
          .Headers = {{"Allow", Allowed}}};
}

bool isReference(std::string_view Text) {
  return Text.size() <= MaxReferenceBytes;
}

} // namespace

/// Maps requests of callers to the decisions and answers back to callers.
class caller_front::implementation final : public request_handler {
public:
  implementation(asio::io_context &Context, server_limits Limits,
                 caller_events &Events)
      : Events(Events), Server(Context, Limits, *this) {}

  connection_server &getServer() { return Server; }

  bool answer(request_id Request, const job_answer &Answer) {
    const auto Found = Waiting.find(Request);
    if (Found == Waiting.end()) {
      return false;
    }
    const waiting Entry = release(Found);
    if (const auto *Failure = std::get_if<job_failure>(&Answer.Outcome)) {
      server_response Response = refusal(*Failure);
      Response.Body = writeJobAnswer(Answer);
      Entry.Connection->respond(Entry.Slot, std::move(Response));
      return true;
    }
    Entry.Connection->respond(Entry.Slot, {.Body = writeJobAnswer(Answer)});
    return true;
  }

  void requestReceived(server_connection &Connection, slot_number Slot,
                       server_request Request) override {
    const std::string_view Target(Request.target().data(),
                                  Request.target().size());
    if (Target == JobsPath) {
      submit(Connection, Slot, Request);
      return;
    }
    if (Target.size() > JobsPath.size() + 1 &&
        Target.substr(0, JobsPath.size()) == JobsPath &&
        Target[JobsPath.size()] == '/') {
      cancel(Connection, Slot, Request, Target.substr(JobsPath.size() + 1));
      return;
    }
    Connection.respond(Slot, notFound("There is nothing at this path."));
  }

  server_response rejectInput(unsigned Status,
                              const std::string &Reason) override {
    if (Status == StatusUnavailable) {
      return refusal({.Code = failure_code::Overloaded,
                      .Reason = Reason,
                      .RetryAfter = RetryInterval});
    }
    return invalid(Status, Reason, {{.Source = "request", .Message = Reason}});
  }

  void requestAbandoned(std::uint64_t Tag) override {
    const auto Found = Waiting.find(request_id{Tag});
    if (Found == Waiting.end()) {
      return;
    }
    release(Found);
    Events.jobCancelled(request_id{Tag}, true);
  }

  void inputDropped(std::uint64_t Bytes) override {
    Events.inputDropped(Bytes);
  }

private:
  static constexpr duration RetryInterval = std::chrono::seconds(1);

  struct waiting {
    std::shared_ptr<server_connection> Connection;
    slot_number Slot = 0;
    std::string Reference;
  };
  struct hash {
    std::size_t operator()(request_id Value) const noexcept {
      return static_cast<std::size_t>(Value);
    }
  };
  using waiting_map = std::unordered_map<request_id, waiting, hash>;

  waiting release(waiting_map::iterator Place) {
    waiting Entry = std::move(Place->second);
    Waiting.erase(Place);
    if (!Entry.Reference.empty()) {
      References.erase(Entry.Reference);
    }
    return Entry;
  }

  void submit(server_connection &Connection, slot_number Slot,
              const server_request &Request) {
    if (Request.method() != beast_http::verb::post) {
      Connection.respond(Slot, notAllowed("POST"));
      return;
    }
    if (!Server.isAccepting()) {
      Connection.respond(Slot, refusal({.Code = failure_code::Stopping,
                                        .Reason = "The entry is stopping.",
                                        .RetryAfter = RetryInterval}));
      return;
    }
    // After a pause of this process, callers may have given up long ago what is
    // read now.
    if (Connection.hasPeerLeft()) {
      Events.inputDropped(Request.body().size());
      Connection.close();
      return;
    }
    auto Parsed = parseJobRequest(Request.body());
    const auto Header = Request[ReferenceHeader];
    const std::string Reference(Header.data(), Header.size());
    if (const auto *Findings = std::get_if<findings>(&Parsed)) {
      Connection.respond(Slot, invalid(StatusBadRequest,
                                       "The request is invalid.", *Findings));
      return;
    }
    if (!isReference(Reference) || References.count(Reference) != 0) {
      rejectReference(Connection, Slot);
      return;
    }
    hand(Connection, Slot, std::get<job_request>(std::move(Parsed)), Reference);
  }

  static void rejectReference(server_connection &Connection, slot_number Slot) {
    const finding Fault{.Source = "header",
                        .Path = ReferenceHeader,
                        .Message =
                            "is too long, or names a request that still waits"};
    Connection.respond(
        Slot, invalid(StatusBadRequest, "The reference is invalid.", {Fault}));
  }

  void hand(server_connection &Connection, slot_number Slot, job_request Job,
            const std::string &Reference) {
    const request_id Request{++LastRequest};
    Connection.tag(Slot, LastRequest);
    if (!Reference.empty()) {
      References.emplace(Reference, Request);
    }
    Waiting.emplace(Request,
                    waiting{.Connection = Connection.shared_from_this(),
                            .Slot = Slot,
                            .Reference = Reference});
    if (Events.jobSubmitted(Request, std::move(Job))) {
      return;
    }
    answer(Request,
           {.Outcome = job_failure{.Code = failure_code::Overloaded,
                                   .Reason = "The entry can't take more work.",
                                   .RetryAfter = RetryInterval}});
  }

  void cancel(server_connection &Connection, slot_number Slot,
              const server_request &Request, std::string_view Encoded) {
    if (Request.method() != beast_http::verb::delete_) {
      Connection.respond(Slot, notAllowed("DELETE"));
      return;
    }
    const auto Reference = percentDecode(Encoded);
    const auto Found =
        Reference ? References.find(*Reference) : References.end();
    if (Found == References.end()) {
      Connection.respond(Slot, notFound("No waiting job has this reference."));
      return;
    }
    const request_id Target = Found->second;
    Connection.respond(
        Slot, {.Status = StatusAccepted, .Body = "{\"cancelling\":true}"});
    Events.jobCancelled(Target, false);
  }

  caller_events &Events;
  waiting_map Waiting;
  std::unordered_map<std::string, request_id> References;
  std::uint64_t LastRequest = 0;
  connection_server Server;
};

caller_front::caller_front(asio::io_context &Context, server_limits Limits,
                           caller_events &Events)
    : Impl(std::make_unique<implementation>(Context, Limits, Events)) {}

caller_front::~caller_front() = default;

checked<std::uint16_t> caller_front::listen(const peer_address &Address) {
  return Impl->getServer().listen(Address);
}

bool caller_front::answer(request_id Request, const job_answer &Answer) {
  return Impl->answer(Request, Answer);
}

void caller_front::announceStop() { Impl->getServer().announceStop(); }

void caller_front::steerCallers(bool Away) {
  Impl->getServer().steerCallers(Away);
}

void caller_front::closeIdle() { Impl->getServer().closeIdle(); }

void caller_front::checkCallers() { Impl->getServer().checkPeers(); }

void caller_front::stopAccepting() { Impl->getServer().stopAccepting(); }

void caller_front::drain(std::function<void()> Done) {
  Impl->getServer().drain(std::move(Done));
}

std::uint32_t caller_front::getConnections() const {
  return Impl->getServer().getConnections();
}

} // namespace crocuswood::http
