#include "connection_server.h"
#include "json_text.h"
#include "target_text.h"

#include <crocuswood/http.h>

#include <algorithm>
#include <cctype>

namespace crocuswood::http {

namespace {

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusUnavailable = 503;
constexpr const char *RetrySeconds = "1";

server_response badInput(unsigned Status, const std::string &Reason) {
  return {.Status = Status,
          .Body = "{\"error\":\"invalid\",\"message\":" + toJsonString(Reason) +
                  "}"};
}

std::string lowerCase(boost::string_view Text) {
  std::string Result(Text.data(), Text.size());
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char Character) {
                   return static_cast<char>(std::tolower(Character));
                 });
  return Result;
}

std::optional<plain_request> toPlain(server_request Request) {
  auto Target = parseTarget(
      std::string_view(Request.target().data(), Request.target().size()));
  if (!Target) {
    return std::nullopt;
  }
  plain_request Result;
  Result.Method = std::string(Request.method_string().data(),
                              Request.method_string().size());
  Result.Path = std::move(Target->Path);
  Result.Query = std::move(Target->Query);
  for (const auto &Field : Request) {
    Result.Headers[lowerCase(Field.name_string())] =
        std::string(Field.value().data(), Field.value().size());
  }
  Result.Body = std::move(Request.body());
  return Result;
}

server_response toServer(plain_response Response) {
  server_response Result{.Status = Response.Status,
                         .Body = std::move(Response.Body),
                         .ContentType = std::move(Response.ContentType)};
  for (auto &[Name, Value] : Response.Headers) {
    Result.Headers.emplace_back(Name, std::move(Value));
  }
  return Result;
}

} // namespace

/// Gives every request to the handler of the server's owner.
class plain_server::implementation final : public request_handler {
public:
  implementation(asio::io_context &Context, server_limits Limits,
                 handler Handler, abandoned Abandoned, dropped Dropped)
      : Handler(std::move(Handler)), Abandoned(std::move(Abandoned)),
        Dropped(std::move(Dropped)), Server(Context, Limits, *this) {}

  connection_server &getServer() { return Server; }

  void requestReceived(server_connection &Connection, slot_number Slot,
                       server_request Request) override {
    auto Plain = toPlain(std::move(Request));
    if (!Plain) {
      Connection.respond(
          Slot, badInput(StatusBadRequest, "The path or query is malformed."));
      return;
    }
    Plain->Number = ++LastNumber;
    Plain->PeerLeft = Abandoned && Connection.hasPeerLeft();
    Connection.tag(Slot, LastNumber);
    // A second call finds the slot answered and does nothing.
    Handler(std::move(*Plain), [Weak = Connection.weak_from_this(),
                                Slot](plain_response Response) {
      const auto Open = Weak.lock();
      if (Open && Response.Status == CloseWithoutAnswer) {
        Open->close();
      } else if (Open) {
        Open->respond(Slot, toServer(std::move(Response)));
      }
    });
  }

  server_response rejectInput(unsigned Status,
                              const std::string &Reason) override {
    server_response Response = badInput(Status, Reason);
    if (Status == StatusUnavailable) {
      Response.Headers.emplace_back("Retry-After", RetrySeconds);
    }
    return Response;
  }

  void requestAbandoned(std::uint64_t Number) override {
    if (Abandoned) {
      Abandoned(Number);
    }
  }

  void inputDropped(std::uint64_t Bytes) override {
    if (Dropped) {
      Dropped(Bytes);
    }
  }

private:
  handler Handler;
  abandoned Abandoned;
  dropped Dropped;
  std::uint64_t LastNumber = 0;
  connection_server Server;
};

plain_server::plain_server(asio::io_context &Context, server_limits Limits,
                           handler Handler, abandoned Abandoned,
                           dropped Dropped)
    : Impl(std::make_unique<implementation>(Context, Limits, std::move(Handler),
                                            std::move(Abandoned),
                                            std::move(Dropped))) {}

plain_server::~plain_server() = default;

checked<std::uint16_t> plain_server::listen(const peer_address &Address) {
  return Impl->getServer().listen(Address);
}

void plain_server::announceStop() { Impl->getServer().announceStop(); }

void plain_server::steerCallers(bool Away) {
  Impl->getServer().steerCallers(Away);
}

void plain_server::closeIdle() { Impl->getServer().closeIdle(); }

void plain_server::checkPeers() { Impl->getServer().checkPeers(); }

void plain_server::stopAccepting() { Impl->getServer().stopAccepting(); }

void plain_server::drain(std::function<void()> Done) {
  Impl->getServer().drain(std::move(Done));
}

} // namespace crocuswood::http
